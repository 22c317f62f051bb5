/** Draws the version of a request from the request's id, so that all attempts on all nodes draw the same version. */
import type { RequestId, VersionId } from '../ids/index.ts'
import type { VersionShares } from '../teams/types.ts'
import type { PromptHasher } from './types.ts'

/** Draws the version of a request, weighted by the shares; undefined when no version has a share. */
export function drawVersion (request: RequestId, { shares }: VersionShares, hasher: PromptHasher): VersionId | undefined {
  const ordered = shares
    .filter(({ share }) => share > 0)
    .sort((a, b) => a.version < b.version ? -1 : 1)
  const totalShare = ordered.reduce((sum, { share }) => sum + share, 0)
  let remainingShare = hasher.draw(request) * totalShare
  for (const { version, share } of ordered) {
    remainingShare -= share
    if (remainingShare < 0) return version
  }
  return ordered.at(-1)?.version
}

/**
 * Returns the versions that may serve a request, the drawn one first. Only versions
 * with a larger share may replace it, so that a canary version never gets more
 * than its share.
 */
export function eligibleVersions (drawn: VersionId, { shares }: VersionShares): VersionId[] {
  const drawnShare = shares.find(({ version }) => version === drawn)?.share ?? 0
  const larger = shares
    .filter(({ version, share }) => version !== drawn && share > drawnShare)
    .sort((a, b) => b.share - a.share)
  return [drawn, ...larger.map(({ version }) => version)]
}
