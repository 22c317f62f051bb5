/** Definition of an error kind. `Params` are the values that its message contains. */
export interface ErrorDefinition<Params> {
  /** Short title for headings and problem details. */
  title: string
  /** Renders the sentence that says what happened. */
  message: (params: Params) => string
  /** What the reader can do about the error. */
  hint: string
}

/** Type-checks a definition and infers its parameter type. */
export function defineError<Params = Record<string, never>> (definition: ErrorDefinition<Params>): ErrorDefinition<Params> {
  return definition
}
