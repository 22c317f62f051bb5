/** Definition of a log event. A number is never reused for another event. */
export interface LogEventDefinition {
  number: number
  level: 'error' | 'warn' | 'info' | 'debug'
  /** One sentence that says what happened. */
  text: string
  /** What an operator should do, or "none". */
  remedy: string
}
