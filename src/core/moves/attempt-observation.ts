/**
 * Results of attempts, for the evaluation of versions and of concurrency limits.
 * A single callback instead of an event emitter, since it runs for every request.
 */
import type { BackendId, RequestId, TeamId, VersionId } from '../ids/index.ts'

/** The result of one attempt. */
export interface AttemptObservation {
  team: TeamId
  /** Id of the request, if known, so that several failed attempts of one request count as one failure. */
  request?: RequestId
  route: string
  version: VersionId
  backend: BackendId
  ok: boolean
  /** Time to the first token of a draft, or to the response to a call. */
  firstTokenMs: number | undefined
  /** Mean time between two tokens; undefined for calls and for responses of one token. */
  betweenTokensMs: number | undefined
}

/** Records the result of an attempt. */
export type RecordAttempt = (observation: AttemptObservation) => void
