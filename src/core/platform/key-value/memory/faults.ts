/** Fault injection for a key-value service, used by tests and stand-ins. */

/** The operations that the service counts. */
export type KeyValueOperation = 'get' | 'list' | 'transact' | 'grantLease' | 'keepAlive' | 'revokeLease' | 'watch'

/** The fault of one call. Without any field the call succeeds. */
export interface CallFault {
  /** The call is refused before it takes effect, and the caller is informed of it. */
  refused?: boolean
  /** The request never arrives; the caller can't tell this from a lost response. */
  requestLost?: boolean
  /** The call takes effect, immediately or after its delay, but the caller loses the connection immediately. */
  answerLost?: boolean
  /** Delay before the call takes effect, in milliseconds. */
  requestDelayMs?: number
  /** Delay between the effect and the response, in milliseconds. */
  answerDelayMs?: number
}

/** A call that is about to be made. */
export interface CallAttempt {
  client: string
  operation: KeyValueOperation
  /** Keys or prefix that it reads, or keys that it writes. */
  keys: string[]
}

/** Selects the fault of a call. */
export type DecideFault = (attempt: CallAttempt) => CallFault

/** Faults as plain data, so that a control endpoint can set them. */
export interface FaultSettings {
  /** Every call is refused and open watches are lost. */
  down?: boolean
  requestDelayMs?: number
  answerDelayMs?: number
  /** Number of next writes that take effect but lose their response. */
  loseNextAnswers?: number
  /** Number of next writes that never arrive. */
  loseNextRequests?: number
}

/** Whether an operation changes the service's data. */
export function isWrite (operation: KeyValueOperation): boolean {
  return operation === 'transact' || operation === 'grantLease' || operation === 'keepAlive' || operation === 'revokeLease'
}

/** Creates the function that selects faults according to the settings. It counts down `loseNextAnswers` and `loseNextRequests` with each write. */
export function createFaultsFromSettings (settings: FaultSettings): DecideFault {
  let answersToLose = settings.loseNextAnswers ?? 0
  let requestsToLose = settings.loseNextRequests ?? 0
  return ({ operation }) => {
    if (settings.down === true) return { refused: true }
    const fault: CallFault = {}
    if (settings.requestDelayMs !== undefined) fault.requestDelayMs = settings.requestDelayMs
    if (settings.answerDelayMs !== undefined) fault.answerDelayMs = settings.answerDelayMs
    if (!isWrite(operation)) return fault
    if (requestsToLose > 0) {
      requestsToLose -= 1
      return { ...fault, requestLost: true }
    }
    if (answersToLose > 0) {
      answersToLose -= 1
      return { ...fault, answerLost: true }
    }
    return fault
  }
}
