/** Counts of what a peer network sent and received. */
import type { PeerNetwork } from './types.ts'

/** The running counts of one node. */
export interface Traffic {
  sent: (bytes: number) => void
  received: (bytes: number) => void
  /** Counts one message of a kind that this node began. */
  message: (kind: string) => void
  read: PeerNetwork['traffic']
}

/** Counts that start at zero. */
export function createTraffic (): Traffic {
  const messages: Record<string, number> = {}
  let sentBytes = 0
  let receivedBytes = 0
  return {
    sent: bytes => { sentBytes += bytes },
    received: bytes => { receivedBytes += bytes },
    message: kind => { messages[kind] = (messages[kind] ?? 0) + 1 },
    read: () => ({ sentBytes, receivedBytes, messages: { ...messages } })
  }
}
