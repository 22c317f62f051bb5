/**
 * Faults of a stand-in engine and of single versions that it serves.
 */

/** Misbehaviour of a version. It takes effect only when all given conditions hold. */
export interface VersionBehaviour {
  /** `fail` responds with an error, `break` fails in the middle of a stream, `slow` takes longer for each token. */
  effect: 'fail' | 'break' | 'slow'
  /** Factor by which a slow version takes longer. */
  slowFactor?: number
  /** Condition: the version has received more requests than this. */
  afterRequests?: number
  /** Condition: more sequences than this are running. */
  aboveRunning?: number
  /** Condition: the request is for this route. */
  route?: string
}

/** Faults of the engine, which can be changed at any time. */
export interface EngineFaults {
  /** The engine handles no request, computes nothing and writes nothing, as if the process were stopped. */
  frozen: boolean
  /** The server doesn't listen; connections are refused. */
  down: boolean
  /** Setting this to true makes the open connections carry no more data, without closing them; new ones work. */
  silenceStreams: boolean
  /** Setting this to true destroys the open connections; new ones work. */
  breakStreams: boolean
  /** Streams end without their end marker after this many tokens. */
  cutAtToken: number | undefined
  /** Streams omit the event of the token at this index. */
  skipToken: number | undefined
  /** Streams send the event at this index with another attempt's id. */
  crossAtToken: number | undefined
  /** New requests are refused with this error. */
  refuse: 'overloaded' | 'failing' | undefined
  /** Wall-clock time at which the instance ends; new requests are refused as soon as this is set. */
  goneAtMs: number | undefined
  /** Ratio of cache events that are lost, from 0 to 1. */
  lostCacheEvents: number
  /** Factor by which every batch step takes longer. */
  slowFactor: number
  /** The engine crashes, and is back after a second, when it has computed the first token of an answer to a prompt with this text. */
  crashOnText: string | undefined
  /** Requests a second that the engine names in its responses as its limit for all nodes together. */
  requestLimitPerSecond: number | undefined
}

/** Initial faults: none. */
export const noEngineFaults: EngineFaults = {
  frozen: false,
  down: false,
  silenceStreams: false,
  breakStreams: false,
  cutAtToken: undefined,
  skipToken: undefined,
  crossAtToken: undefined,
  refuse: undefined,
  goneAtMs: undefined,
  lostCacheEvents: 0,
  slowFactor: 1,
  crashOnText: undefined,
  requestLimitPerSecond: undefined
}

/** Values that the conditions of a `VersionBehaviour` are checked against. */
export interface BehaviourContext {
  requests: number
  running: number
  route: string | undefined
}

/** Whether all conditions of a misbehaviour hold. */
export function isEffectActive (behaviour: VersionBehaviour, context: BehaviourContext): boolean {
  if (behaviour.afterRequests !== undefined && context.requests <= behaviour.afterRequests) return false
  if (behaviour.aboveRunning !== undefined && context.running <= behaviour.aboveRunning) return false
  return behaviour.route === undefined || behaviour.route === context.route
}
