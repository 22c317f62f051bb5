/** Finds this node's share of a limit: divided here from the reports of others, given by a collector, or what is left to a node alone. */
import { allocateLimit } from './allocation.ts'
import type { NodeId } from '../ids/index.ts'
import type { BackendLimitsOptions, LimitShare, ReportedShare } from './types.ts'

/** A limit to divide. */
export interface DividedLimit {
  /** Identifies one start of a backend server. */
  key: string
  service: string
  perSecond: number
}

/** Options of the shares. */
export interface LimitSharesOptions extends Pick<BackendLimitsOptions, 'clock' | 'node' | 'draw' | 'otherNodes' | 'reportedDemands' | 'getsAllReports'> {
  /** Requests a second that this node is asked for. */
  ownDemand: (service: string) => number
}

/** The shares of limits as this node knows them. */
export interface LimitShares {
  /** This node's share; undefined if it may send nothing. */
  own: (limit: DividedLimit) => LimitShare | undefined
  /** The shares of all nodes whose reports come here. */
  divide: (limit: DividedLimit) => ReadonlyMap<NodeId, LimitShare>
  /** Replaces the shares that a collector gave to this node, by key; undefined when it is no longer used. */
  setGranted: (shares: ReadonlyMap<string, Omit<ReportedShare, 'backend' | 'startedAtMs'>> | undefined) => void
  /** Divides a limit anew, because it has changed. */
  invalidate: (key: string) => void
  /** Deletes what is kept of a limit. */
  remove: (key: string) => void
}

/** Age up to which a collector's shares hold; several of its digests. */
const maxGrantedAgeMs = 1_000
/** Time for which an allocation is used again: half a report interval, and longer in a cluster whose allocations cost more. */
export const allocationTtlMs = 100
const allocationTtlMsPerNode = 1

/** Creates the shares of one node. */
export function createLimitShares (options: LimitSharesOptions): LimitShares {
  const { clock, node, draw, otherNodes, reportedDemands, getsAllReports, ownDemand } = options
  const rankings = new Map<string, readonly NodeId[]>()
  const allocations = new Map<string, { shares: Map<NodeId, LimitShare>, untilMs: number }>()
  let rankedNodes: ReadonlyArray<{ node: NodeId }> = []
  let granted: { shares: ReadonlyMap<string, LimitShare>, untilMs: number } | undefined

  /** All registered nodes in an order that is the backend server's own and the same on every node. */
  function rankNodes (key: string): readonly NodeId[] {
    const others = otherNodes()
    if (others !== rankedNodes) {
      rankings.clear()
      rankedNodes = others
    }
    const existing = rankings.get(key)
    if (existing !== undefined) return existing
    const draws = new Map([node, ...others.map(other => other.node)].map(id => [id, draw(`${key}/${id}`)]))
    const ranked = [...draws.keys()].sort((a, b) => (draws.get(a) ?? 0) - (draws.get(b) ?? 0))
    rankings.set(key, ranked)
    return ranked
  }

  function divide ({ key, service, perSecond }: DividedLimit): ReadonlyMap<NodeId, LimitShare> {
    const nowMs = clock.monotonicMs()
    const existing = allocations.get(key)
    if (existing !== undefined && nowMs < existing.untilMs) return existing.shares
    const demands = new Map([...reportedDemands()].map(([other, byService]) => [other, byService.get(service) ?? 0]))
    // A node that uses a collector's shares is counted there.
    if (getsAllReports()) demands.set(node, ownDemand(service))
    const shares = allocateLimit({ perSecond, ranked: rankNodes(key), demands })
    allocations.set(key, { shares, untilMs: nowMs + Math.max(allocationTtlMs, allocationTtlMsPerNode * demands.size) })
    return shares
  }

  function own (limit: DividedLimit): LimitShare | undefined {
    if (getsAllReports()) return divide(limit).get(node)
    if (granted !== undefined && clock.monotonicMs() < granted.untilMs) return granted.shares.get(limit.key)
    // Without the collector that divides the limit, as if it heard no other node.
    return allocateLimit({ perSecond: limit.perSecond, ranked: rankNodes(limit.key), demands: new Map([[node, 1]]) }).get(node)
  }

  return {
    own,
    divide,
    setGranted: shares => {
      granted = shares === undefined ? undefined : { shares, untilMs: clock.monotonicMs() + maxGrantedAgeMs }
    },
    invalidate: key => { allocations.delete(key) },
    remove: key => {
      allocations.delete(key)
      rankings.delete(key)
    }
  }
}
