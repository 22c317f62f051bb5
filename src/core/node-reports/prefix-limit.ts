/** Limits what a collector's digests say of prefixes. */

/** Share of a collector's bandwidth that prefixes in digests may use; the rest is for callers. */
const prefixLinkRatio = 0.2
/** Size of a prefix in a digest: an id and two hashes. */
const prefixBytes = 75
/** Maximum number of prefixes in one digest, so that it fits into a few packets. */
const maxPrefixes = 64

/** Number of prefixes that a collector may include in each digest. */
export function maxPrefixesOf (linkMbps: number, nodes: number, reportIntervalMs: number): number {
  const bytesPerSecond = linkMbps * 1e6 / 8 * prefixLinkRatio
  const digestsPerSecond = Math.max(1, nodes) * 1_000 / reportIntervalMs
  return Math.min(maxPrefixes, Math.floor(bytesPerSecond / digestsPerSecond / prefixBytes))
}
