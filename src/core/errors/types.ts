/** One entry of the error catalogue. `Params` are the values its message names. */
export interface ErrorEntry<Params> {
  /** A few words for headings and problem details. */
  title: string
  /** What happened, with the values that matter. */
  message: (params: Params) => string
  /** What the reader can do about it. */
  hint: string
}

/** Keeps the parameter type of an entry while checking its shape. */
export function entry<Params = Record<string, never>> (definition: ErrorEntry<Params>): ErrorEntry<Params> {
  return definition
}
