/**
 * Divides the limit of a backend server among nodes that hear one another. The limit is low
 * compared with the number of nodes, and each node that may send can send at least one request
 * at any moment; so only some nodes send, as many as keep their bursts together below what the
 * limit tolerates, chosen by a hash that all nodes compute alike. Nodes that aren't heard may
 * be sending, too, so their part of the limit is left to them.
 */
import type { NodeId } from '../ids/index.ts'
import type { LimitShare } from './types.ts'

/** Number of nodes that may send, and further ones for each request a second of the limit. */
const baseSenders = 2
const sendersPerRate = 0.8
/** Requests that they may send at once, all together. */
const baseBurst = 2
const burstSeconds = 1.2
/** Part of the mean demand that each sender is given beside its own, so that it can serve a rise of its demand. */
const idleDemandRatio = 0.25
/** Rate at which a backend server that takes no requests is asked whether that still holds. */
const minPerSecond = 0.1

/** Input of an allocation. */
export interface Allocation {
  perSecond: number
  /** All registered nodes, in the backend server's own order. */
  ranked: readonly NodeId[]
  /** Requests a second that the nodes of this group are asked for, by node. */
  demands: ReadonlyMap<NodeId, number>
}

/** The limit that nodes keep to, in requests a second. */
export function effectiveLimit (perSecond: number): number {
  return Math.max(minPerSecond, perSecond)
}

/** Number of nodes that may send. */
function maxSenders (perSecond: number): number {
  return Math.floor(baseSenders + sendersPerRate * perSecond)
}

/** Returns the share of each node that may send. */
export function allocateLimit ({ perSecond, ranked, demands }: Allocation): Map<NodeId, LimitShare> {
  const members = ranked.filter(node => demands.has(node))
  const isMajority = members.length * 2 > ranked.length
  // A minority may be one of several, whose bursts add up; only nodes that are senders for all nodes send there.
  const candidates = isMajority ? members : ranked.slice(0, maxSenders(perSecond)).filter(node => demands.has(node))
  const groupRatio = members.length / Math.max(1, ranked.length)
  const groupPerSecond = effectiveLimit(perSecond) * groupRatio
  const senders = candidates.filter(node => (demands.get(node) ?? 0) > 0).slice(0, maxSenders(groupPerSecond))
  const meanDemand = senders.reduce((sum, node) => sum + (demands.get(node) ?? 0), 0) / Math.max(1, senders.length)
  const weights = senders.map(node => (demands.get(node) ?? 0) + idleDemandRatio * meanDemand)
  const totalWeight = weights.reduce((sum, weight) => sum + weight, 0)
  const spareBurst = Math.max(0, baseBurst + burstSeconds * groupPerSecond - senders.length)
  return new Map(senders.map((node, index) => {
    const part = (weights[index] ?? 0) / totalWeight
    return [node, { ratio: groupRatio * part, burst: 1 + spareBurst * part }]
  }))
}
