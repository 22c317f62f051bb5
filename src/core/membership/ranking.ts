/** Rendezvous hashing: nodes that know the same live nodes rank them in the same order, without communication. */
import { createHash } from 'node:crypto'
import type { PeerAddress } from '../peers/types.ts'

const scoreBytes = 6

function scoreOf (key: string, node: string): number {
  return createHash('sha256').update(`${key}\n${node}`).digest().readUIntBE(0, scoreBytes)
}

/**
 * Sorts nodes by their score for a key, highest first (highest random weight, Thaler
 * and Ravishankar 1998). Adding or removing a node doesn't change the order of the others.
 */
export function rankNodes (nodes: PeerAddress[], key: string): PeerAddress[] {
  return nodes
    .map(address => ({ address, score: scoreOf(key, address.node) }))
    .sort((a, b) => b.score - a.score || (a.address.node < b.address.node ? -1 : 1))
    .map(({ address }) => address)
}
