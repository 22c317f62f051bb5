/** Types of planned stops, and what a stopping node reads of the requests that it decides on. */

/** Which requests may be retried: `repeatable` always, `at-most-once` never, `stream` only where the route can resume it. */
export type RequestKind = 'repeatable' | 'at-most-once' | 'stream'

/** A request at the gate. */
export interface GateRequest {
  route: string
  kind: RequestKind
  /** Maximum tokens of the answer; undefined if the request doesn't say. */
  answerTokens: number | undefined
  /** Wall time. */
  deadlineAtMs: number
}

/** Monotonic times of a planned stop. */
export interface PlannedStop {
  requestedAtMs: number
  /** From then on, a stream that is taken must not be cut. */
  streamsCompleteFromMs: number
  /** When what is taken now must be finished. */
  endsAtMs: number
  /** Called with the monotonic time before which the stop must not end a request that is taken by its deadline. */
  holdUntil: (atMs: number) => void
}

/** What bounded the time that a request is expected to take; with `nothing-known`, its deadline did. */
export type DecisionBasis = 'deadline' | 'estimate' | 'nothing-known'

/** What the gate decided on a request, and by what. */
export interface StopDecision extends AnswerEstimate {
  isAdmitted: boolean
  basis: DecisionBasis
  deadlineInMs: number
  /** Time to the end of the stop. */
  leftMs: number
  sinceStopMs: number
}

/** What is known of an answer when it is delivered. Times count from the arrival of its request. */
export interface AnswerTimes {
  firstByteMs: number
  tookMs: number
  /** Events of a stream; 0 for other answers. */
  eventCount: number
  /** Maximum tokens of the answer; undefined if the request doesn't say. */
  answerTokens: number | undefined
}

/** How far an attempt has come. */
export interface AttemptPace {
  sinceSentMs: number
  /** Present pause between two events, or the time since the latest one if it is longer; undefined without an event. */
  pausePerEventMs: number | undefined
}

/** An attempt in progress. */
export interface OpenAttempt {
  /** Called with the number of events received in this attempt. */
  onEvents: (count: number) => void
  pace: () => AttemptPace
  end: () => void
}

/** How long an answer is expected to take, and what that is concluded from. */
export interface AnswerEstimate {
  /** Time that it takes at most, by far most probably; infinite if too little is known. */
  expectedMs: number
  /** Events that a stream may have; undefined if too little is known. */
  expectedEvents: number | undefined
  knownAnswers: number
  /** Those that ended a short time ago. */
  recentAnswers: number
  newestAnswerAgeMs: number | undefined
  /** Attempts in progress that have received an event. */
  openStreams: number
  /** Their present pace, a high quantile; undefined if there are none. */
  pausePerEventMs: number | undefined
}

/** A request that a stopping node decides on; the gateway's state of a request has these fields. */
export interface StoppableRequest {
  id: string
  route: { name: string, kind: RequestKind }
  head: { tokens: { answer: number } | undefined }
  /** Wall time. */
  deadlineAtMs: number
  /** What its caller has got, and what its attempts have received. */
  progress: { areHeadersSent: boolean, eventBuffer: { eventCount: () => number } }
  /** The latest attempt. */
  openAttempt: OpenAttempt | undefined
  /** The latest decision, which `createStopDecisions` sets. */
  stopDecision: StopDecision | undefined
}
