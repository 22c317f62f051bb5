/**
 * Faults of a key-value service, for tests and stand-ins.
 */

/** The kinds of calls that the service counts. */
export type KeyValueOperation = 'get' | 'list' | 'transact' | 'grantLease' | 'keepAlive' | 'revokeLease' | 'watch'

/** What goes wrong with one call. Nothing does when every field is absent. */
export interface CallFault {
  /** The call is refused before it takes effect, and the caller knows. */
  refused?: boolean
  /** The request never arrives; the caller can't know. */
  requestLost?: boolean
  /** The call takes effect, at once or after its delay, but its answer is lost at once. */
  answerLost?: boolean
  /** Delay before the call takes effect, in milliseconds. */
  requestDelayMs?: number
  /** Delay between the effect and the answer, in milliseconds. */
  answerDelayMs?: number
}

/** One call about to be made. */
export interface CallAttempt {
  client: string
  operation: KeyValueOperation
  /** Keys that it reads or writes. */
  keys: string[]
}

/** Decides what goes wrong with a call. */
export type DecideFault = (attempt: CallAttempt) => CallFault

/** Faults as plain settings, so that a control endpoint can set them. */
export interface FaultSettings {
  /** Every call is refused and open watches break. */
  down?: boolean
  requestDelayMs?: number
  answerDelayMs?: number
  /** The answers of this many next writes are lost after their effect. */
  loseNextAnswers?: number
  /** This many next writes never arrive. */
  loseNextRequests?: number
}

/** Whether an operation changes what the service holds. */
export function isWrite (operation: KeyValueOperation): boolean {
  return operation === 'transact' || operation === 'grantLease' || operation === 'keepAlive' || operation === 'revokeLease'
}

/** Turns settings into a decision for each call; the counts run down as writes come. */
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
