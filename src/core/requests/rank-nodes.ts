/**
 * Rendezvous hashing (Thaler and Ravishankar, 1998): every node ranks the
 * others for a key in the same way, without messages.
 */
import { createHash } from 'node:crypto'
import type { PeerAddress } from '../peers/types.ts'

/** The nodes in the order of their weight for the key, the highest first. */
export function rankNodes (key: string, nodes: readonly PeerAddress[]): PeerAddress[] {
  return nodes
    .map(node => ({ node, weight: createHash('sha256').update(`${key}\0${node.node}`).digest('hex') }))
    .sort((a, b) => (a.weight < b.weight ? 1 : -1))
    .map(({ node }) => node)
}
