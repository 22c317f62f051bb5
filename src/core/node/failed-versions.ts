/**
 * Records at which versions a draft's attempts failed. While a version move gives
 * two versions a share, a draft that failed at one of them can restart on the
 * other one, even on the same backend server if that runs the other version by then.
 */
import type { BackendId, VersionId } from '../ids/index.ts'
import type { DraftRequest } from '../requests/index.ts'
import type { VersionShares } from '../teams/index.ts'

/** Number of failures at a version after which a draft gets no further attempt at it, if another version is available. */
const maxFailuresPerVersion = 2

/** The failures of open drafts. */
export interface FailedVersions {
  recordFailure: (draft: DraftRequest, version: VersionId, backend: BackendId) => void
  /**
   * Whether the draft must not be attempted at the version again, so that its answer
   * restarts on another one: it failed there at least `maxFailuresPerVersion` times,
   * and the version isn't among the `remaining` shares.
   */
  isVersionAbandoned: (draft: DraftRequest, version: VersionId, shares: VersionShares) => boolean
  /** The shares without the versions at which the draft failed; all shares if it failed at every version. */
  remaining: (draft: DraftRequest, shares: VersionShares) => VersionShares
  /**
   * The backend servers that stay excluded. Keeps an excluded backend server only if
   * the draft failed there at a version that is in `remaining`, or if no failure of
   * the draft is recorded there.
   */
  effectiveExclusions: (draft: DraftRequest, excluded: ReadonlySet<BackendId>, remaining: VersionShares) => ReadonlySet<BackendId>
}

interface Failure {
  version: VersionId
  backend: BackendId
}

/** Creates an empty record. */
export function createFailedVersions (): FailedVersions {
  const failures = new WeakMap<DraftRequest, Failure[]>()

  function failuresOf (draft: DraftRequest): Failure[] {
    return failures.get(draft) ?? []
  }

  function remaining (draft: DraftRequest, { shares }: VersionShares): VersionShares {
    const failed = failuresOf(draft)
    const remainingShares = shares.filter(({ version }) => !failed.some(failure => failure.version === version))
    return { shares: remainingShares.length === 0 ? shares : remainingShares }
  }

  return {
    recordFailure: (draft, version, backend) => failures.set(draft, [...failuresOf(draft), { version, backend }]),
    isVersionAbandoned: (draft, version, shares) => {
      const count = failuresOf(draft).filter(failure => failure.version === version).length
      return count >= maxFailuresPerVersion && remaining(draft, shares).shares.every(part => part.version !== version)
    },
    remaining,
    effectiveExclusions: (draft, excluded, { shares }) => {
      const failed = failuresOf(draft)
      return new Set([...excluded].filter(backend => {
        const failuresHere = failed.filter(failure => failure.backend === backend)
        return failuresHere.length === 0 || failuresHere.some(failure => shares.some(({ version }) => version === failure.version))
      }))
    }
  }
}
