/** Which records go along with a message: changes first, each a bounded number of times. */
import type { NodeId } from '../ids/index.ts'

/**
 * Factor of the number of messages that carry a change: lambda log n of SWIM (Das,
 * Gupta, Motivala 2002, section 4.1), after which all but n^-(2 lambda - 2) members are expected to know it.
 */
const disseminationFactor = 3

/** The changes that still have to be told. */
export interface UpdateQueue {
  add: (node: NodeId) => void
  /** Takes up to `limit` changes, those told least often first. */
  take: (limit: number, memberCount: number) => NodeId[]
}

/** An empty queue. */
export function createUpdateQueue (): UpdateQueue {
  const timesTold = new Map<NodeId, number>()

  function take (limit: number, memberCount: number): NodeId[] {
    const mostTold = Math.ceil(disseminationFactor * Math.log(memberCount + 1))
    const chosen = [...timesTold].sort((a, b) => a[1] - b[1]).slice(0, limit)
    for (const [node, times] of chosen) {
      if (times + 1 >= mostTold) timesTold.delete(node)
      else timesTold.set(node, times + 1)
    }
    return chosen.map(([node]) => node)
  }

  return { add: node => timesTold.set(node, 0), take }
}
