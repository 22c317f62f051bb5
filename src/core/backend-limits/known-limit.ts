/** What a node knows of the limit that one start of a backend server named. */
import { createPermitBucket } from './permits.ts'
import type { LimitEvidence } from './evidence.ts'
import type { PermitBucket } from './permits.ts'
import type { ReportableLimit } from './report-selection.ts'
import type { LimitedBackend, LimitShare, PermitClaim } from './types.ts'

/** What this node knows of one start of a backend server. */
export interface KnownLimit extends ReportableLimit {
  /** Monotonic time since which the backend server isn't registered; undefined if it is. */
  unregisteredSinceMs: number | undefined
  bucket: PermitBucket
  share: LimitShare | undefined
  shareUntilMs: number
  /** Requests that this node sent since the limit was named, and that it sent elsewhere. */
  sentCount: number
  skippedCount: number
  skipLoggedAtMs: number
}

/** The key of one start of a backend server. */
export function keyOf ({ id, startedAtMs }: Pick<LimitedBackend, 'id' | 'startedAtMs'>): string {
  return `${id}/${startedAtMs ?? ''}`
}

/** Requests of a lower class get the next permit first: by priority, and first attempts before retries. */
export function classOf ({ rank, isRetry }: PermitClaim): number {
  return rank * 2 + (isRetry ? 1 : 0)
}

/** Creates a limit that isn't in force yet. */
export function createKnownLimit ({ id, startedAtMs }: KnownLimit['backend'], evidence: LimitEvidence): KnownLimit {
  return {
    backend: { id, startedAtMs },
    evidence,
    changedAtMs: -Infinity,
    sinceMs: undefined,
    endedAtMs: -Infinity,
    unregisteredSinceMs: undefined,
    bucket: createPermitBucket(),
    share: undefined,
    shareUntilMs: -Infinity,
    sentCount: 0,
    skippedCount: 0,
    skipLoggedAtMs: -Infinity
  }
}
