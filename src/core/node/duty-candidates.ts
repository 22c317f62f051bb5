/** Selects by rendezvous hashing the few live nodes that campaign for a duty, which limits the load on the key-value service. */
import { rankNodes } from '../membership/index.ts'
import type { Membership, PeerAddress } from '../peers/types.ts'

/** Number of nodes that campaign for a duty: one to hold it and one to take over. */
const candidateCount = 2

/** Creates the function that tells whether this node is a candidate for a duty. */
export function createDutyCandidacy (membership: Membership): (duty: string) => boolean {
  let cachedForPeers: PeerAddress[] | undefined
  const candidacyByDuty = new Map<string, boolean>()

  return duty => {
    const peers = membership.peers()
    // `peers()` returns a new array after each change; cached results are valid until then.
    if (peers !== cachedForPeers) candidacyByDuty.clear()
    cachedForPeers = peers
    const cached = candidacyByDuty.get(duty)
    if (cached !== undefined) return cached
    const first = rankNodes([membership.self, ...peers], duty).slice(0, candidateCount)
    const isCandidate = first.some(({ node }) => node === membership.self.node)
    candidacyByDuty.set(duty, isCandidate)
    return isCandidate
  }
}
