/** Which version serves a request: a draw from its id, so that every attempt on every node falls on the same. */
import type { RequestId, VersionId } from '../ids/index.ts'
import type { VersionShares } from '../teams/types.ts'
import type { PromptHasher } from './types.ts'

/** The version drawn for a request, or undefined when no version has a share. */
export function drawVersion (request: RequestId, { shares }: VersionShares, hasher: PromptHasher): VersionId | undefined {
  const ordered = shares
    .filter(({ share }) => share > 0)
    .sort((a, b) => a.version < b.version ? -1 : 1)
  const total = ordered.reduce((sum, { share }) => sum + share, 0)
  let remaining = hasher.draw(request) * total
  for (const { version, share } of ordered) {
    remaining -= share
    if (remaining < 0) return version
  }
  return ordered.at(-1)?.version
}

/**
 * Versions that may serve a request, the drawn one first. Only versions with a
 * larger share stand in for it, so that a version under trial never gets more
 * than its share.
 */
export function eligibleVersions (drawn: VersionId, { shares }: VersionShares): VersionId[] {
  const drawnShare = shares.find(({ version }) => version === drawn)?.share ?? 0
  const larger = shares
    .filter(({ version, share }) => version !== drawn && share > drawnShare)
    .sort((a, b) => b.share - a.share)
  return [drawn, ...larger.map(({ version }) => version)]
}
