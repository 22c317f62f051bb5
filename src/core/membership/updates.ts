/** Queue of changed records that are piggybacked on messages, each a limited number of times. */
import type { NodeId } from '../ids/index.ts'

/**
 * The factor lambda in the number of messages that carry a change, lambda log n
 * (SWIM: Das, Gupta, Motivala 2002, section 4.1). After them all but n^-(2 lambda - 2)
 * members are expected to know the change.
 */
const disseminationFactor = 3

/** The changes that still have to be sent. */
export interface UpdateQueue {
  add: (node: NodeId) => void
  /** Returns up to `limit` changed nodes, those sent least often first, and counts them as sent. */
  take: (limit: number, memberCount: number) => NodeId[]
}

/** Creates an empty queue. */
export function createUpdateQueue (): UpdateQueue {
  const sendCounts = new Map<NodeId, number>()

  function take (limit: number, memberCount: number): NodeId[] {
    const maxSends = Math.ceil(disseminationFactor * Math.log(memberCount + 1))
    const chosen = [...sendCounts].sort((a, b) => a[1] - b[1]).slice(0, limit)
    for (const [node, sendCount] of chosen) {
      if (sendCount + 1 >= maxSends) sendCounts.delete(node)
      else sendCounts.set(node, sendCount + 1)
    }
    return chosen.map(([node]) => node)
  }

  return { add: node => sendCounts.set(node, 0), take }
}
