/**
 * Checks the values of a decoded datagram or message. Each function throws if the value
 * is of another kind; whoever receives the message drops it as a whole. Without them a
 * number of another kind, such as a BigInt, fails much later, where nobody expects it.
 */

function fail (expected: string, value: unknown): never {
  throw new TypeError(`expected ${expected}, found ${value === null ? 'null' : typeof value}`)
}

export function readNumber (value: unknown): number {
  return typeof value === 'number' && Number.isFinite(value) ? value : fail('a finite number', value)
}

export function readText (value: unknown): string {
  return typeof value === 'string' ? value : fail('a text', value)
}

export function readBoolean (value: unknown): boolean {
  return typeof value === 'boolean' ? value : fail('a truth value', value)
}

/** Reads a value that may be missing, which is sent as null or undefined. */
export function readOptional<Value> (value: unknown, read: (present: unknown) => Value): Value | undefined {
  return value === null || value === undefined ? undefined : read(value)
}

/** Reads each item of a list. */
export function readList<Item> (value: unknown, read: (item: unknown) => Item): Item[] {
  return Array.isArray(value) ? value.map(item => read(item)) : fail('a list', value)
}

/** Reads a list of fixed fields; missing ones at its end are undefined. */
export function readFields (value: unknown): readonly unknown[] {
  return Array.isArray(value) ? value : fail('a list', value)
}
