/** Reads the request limits that backend servers name in the headers of their responses. */

/** Response header of engines and services in which they name their limit; the users' platform has a name of its own. */
export const requestLimitHeader = 'request-limit'

/** What a response says of its backend server's limit: none, a number of requests a second, or a text that is not one. */
export type NamedLimit =
  | { kind: 'none' }
  | { kind: 'named', perSecond: number }
  | { kind: 'invalid', text: string }

/** A limit above this is as good as none; it keeps later arithmetic finite. */
const maxPerSecond = 1_000_000
const maxLoggedChars = 40
const decimalPattern = /^(\d+(\.\d*)?|\.\d+)(e[+-]?\d{1,3})?$/i

function parseDecimal (text: string): number | undefined {
  return decimalPattern.test(text) ? Math.min(maxPerSecond, Number(text)) : undefined
}

/** Reads the values of the header, one for each time that it occurs. The smallest number holds; without any number, the header is invalid. */
export function parseNamedLimit (values: string | readonly string[] | undefined): NamedLimit {
  if (values === undefined) return { kind: 'none' }
  const texts = [values].flat().flatMap(value => value.split(',')).map(text => text.trim())
  const limits = texts.map(parseDecimal).filter(limit => limit !== undefined)
  if (limits.length === 0) return { kind: 'invalid', text: texts.join(',').slice(0, maxLoggedChars) }
  return { kind: 'named', perSecond: limits.reduce((least, limit) => Math.min(least, limit)) }
}
