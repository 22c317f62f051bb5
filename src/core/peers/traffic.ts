/** Traffic counters of a peer network. */
import type { PeerNetwork } from './types.ts'

/** The traffic counters of one node. */
export interface Traffic {
  countSent: (bytes: number) => void
  countReceived: (bytes: number) => void
  /** Counts one message that this node initiated. */
  countMessage: (kind: string) => void
  snapshot: PeerNetwork['traffic']
}

/** Creates counters that start at zero. */
export function createTraffic (): Traffic {
  const messages: Record<string, number> = {}
  let sentBytes = 0
  let receivedBytes = 0
  return {
    countSent: bytes => { sentBytes += bytes },
    countReceived: bytes => { receivedBytes += bytes },
    countMessage: kind => { messages[kind] = (messages[kind] ?? 0) + 1 },
    snapshot: () => ({ sentBytes, receivedBytes, messages: { ...messages } })
  }
}
