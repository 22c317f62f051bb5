/** Rendezvous hashing: every node that knows the same live nodes ranks them alike, without a message. */
import { createHash } from 'node:crypto'
import type { PeerAddress } from '../peers/types.ts'

const scoreBytes = 6

function scoreOf (key: string, node: string): number {
  return createHash('sha256').update(`${key}\n${node}`).digest().readUIntBE(0, scoreBytes)
}

/**
 * Nodes in order of their score for a key, best first (highest random weight,
 * Thaler and Ravishankar 1998). A node that comes or goes changes only its own place.
 */
export function rankNodes (nodes: PeerAddress[], key: string): PeerAddress[] {
  return nodes
    .map(address => ({ address, score: scoreOf(key, address.node) }))
    .sort((a, b) => b.score - a.score || (a.address.node < b.address.node ? -1 : 1))
    .map(({ address }) => address)
}
