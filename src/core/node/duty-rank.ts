/** Which nodes seek a duty: the first few by rendezvous over the live nodes, so that few nodes ask the key-value service for it. */
import { rankNodes } from '../membership/index.ts'
import type { Membership, PeerAddress } from '../peers/types.ts'

/** Nodes that seek a duty: one to hold it and one to take it over. */
const seekers = 2

/** Creates the function that tells whether this node is among those that seek a duty. */
export function createDutyRank (membership: Membership): (duty: string) => boolean {
  let ranked: PeerAddress[] | undefined
  const known = new Map<string, boolean>()

  return duty => {
    const peers = membership.peers()
    // The list is another one after each change; ranks hold until then.
    if (peers !== ranked) known.clear()
    ranked = peers
    const before = known.get(duty)
    if (before !== undefined) return before
    const first = rankNodes([membership.self, ...peers], duty).slice(0, seekers)
    const wanted = first.some(({ node }) => node === membership.self.node)
    known.set(duty, wanted)
    return wanted
  }
}
