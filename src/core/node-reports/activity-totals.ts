/** The totals of all nodes' reported activity, as a collector maintains them. */
import { createSpeedTotals } from '../backend-speeds/index.ts'
import type { Clock } from '../clock/index.ts'
import type { BackendId, NodeId, TeamId } from '../ids/index.ts'
import type { QuotaUsage } from '../quota/index.ts'
import type { PeerLoad, PrefixPlacement } from '../routing/index.ts'
import type { Activity, SuspectCounts } from './types.ts'

/** The totals at one collector. */
export interface ActivityTotals {
  /** Replaces a node's activity. Quota usage since its previous report, or since its restart, is added to the totals; that of an unknown node only if its process started recently. */
  record: (node: NodeId, bootId: string, activity: Activity, hasJustStarted?: boolean) => void
  /** Removes the open requests of a node that no longer reports; its quota usage stays in the totals. */
  remove: (node: NodeId) => void
  /** The total activity of all nodes except one, with the latest prefixes that were added since the previous call for that node. */
  totalsExcept: (node: NodeId) => Activity
  /** Number of nodes in the totals, not counting the given node. */
  nodeCountExcept: (node: NodeId) => number
}

/** Time after which a prefix that is sent to the same backend server again is added again; half the time for which engines cache it. */
const prefixRepeatIntervalMs = 10_000
/** Time for which the backend servers that are leaving are not collected again; half a report interval. */
const leavingCacheMs = 100
/** Maximum number of prefixes stored for digests; enough for several report intervals. */
const maxStoredPrefixes = 512

/** Options of the totals. */
export interface ActivityTotalsOptions {
  clock: Clock
  /** Maximum number of prefixes in one digest. */
  maxPrefixes: () => number
}

interface ReportedActivity {
  bootId: string
  quotaUsage: Map<TeamId, QuotaUsage>
  loads: Map<BackendId, PeerLoad>
  suspects: ReadonlyMap<BackendId, SuspectCounts>
  leaving: ReadonlyMap<BackendId, number | undefined>
}

/** Adds a load to the totals (`sign` 1) or subtracts it (`sign` -1). */
function addLoad (totals: Map<BackendId, PeerLoad>, backend: BackendId, load: PeerLoad, sign: 1 | -1): void {
  const total = totals.get(backend) ?? { requests: 0, pendingTokens: 0 }
  totals.set(backend, { requests: total.requests + sign * load.requests, pendingTokens: total.pendingTokens + sign * load.pendingTokens })
}

const noUsage: QuotaUsage = { quota: 0, tolerance: 0, asked: 0 }

/** Adds a usage (`sign` 1) or subtracts it (`sign` -1). */
function sumUsage (a: QuotaUsage, b: QuotaUsage, sign: 1 | -1): QuotaUsage {
  return { quota: a.quota + sign * b.quota, tolerance: a.tolerance + sign * b.tolerance, asked: a.asked + sign * b.asked }
}

function addQuotaUsage (totals: Map<TeamId, QuotaUsage>, team: TeamId, added: QuotaUsage): void {
  totals.set(team, sumUsage(totals.get(team) ?? noUsage, added, 1))
}

/** Creates empty totals. */
export function createActivityTotals ({ clock, maxPrefixes }: ActivityTotalsOptions): ActivityTotals {
  const reportedByNode = new Map<NodeId, ReportedActivity>()
  const speeds = createSpeedTotals(clock)
  const totalLoads = new Map<BackendId, PeerLoad>()
  const totalUsage = new Map<TeamId, QuotaUsage>()
  /** Quota usage that was added for each node; kept after the node is removed, so that no total ever decreases. */
  const usageByNode = new Map<NodeId, Map<TeamId, QuotaUsage>>()
  const addedAtMs = new Map<string, number>()
  let prefixes: Array<PrefixPlacement & { from: NodeId, number: number }> = []
  let prefixNumber = 0
  const lastSentNumbers = new Map<NodeId, number>()
  let leavingBackends = new Map<BackendId, number | undefined>()
  let leavingUntilMs = -Infinity

  function recordUsage (node: NodeId, bootId: string, quotaUsage: Map<TeamId, QuotaUsage>, before: ReportedActivity | undefined, hasJustStarted: boolean): void {
    // It is unknown when the usage in a node's first report occurred, so it isn't added, unless all of it is recent.
    if (before === undefined && !hasJustStarted) return
    const nodeUsage = usageByNode.get(node) ?? new Map<TeamId, QuotaUsage>()
    usageByNode.set(node, nodeUsage)
    for (const [team, reported] of quotaUsage) {
      const previous = before?.bootId === bootId ? before.quotaUsage.get(team) : undefined
      const added = sumUsage(reported, previous ?? noUsage, -1)
      if (added.asked === 0) continue
      addQuotaUsage(totalUsage, team, added)
      addQuotaUsage(nodeUsage, team, added)
    }
  }

  function recordPrefixes (from: NodeId, placements: readonly PrefixPlacement[]): void {
    const nowMs = clock.monotonicMs()
    for (const { backend, hashes } of placements) {
      const key = `${backend}/${hashes.at(-1)}`
      if (nowMs - (addedAtMs.get(key) ?? -Infinity) < prefixRepeatIntervalMs) continue
      addedAtMs.delete(key)
      addedAtMs.set(key, nowMs)
      prefixNumber += 1
      prefixes.push({ backend, hashes, from, number: prefixNumber })
    }
    prefixes = prefixes.slice(-maxStoredPrefixes)
    for (const [key, atMs] of addedAtMs) {
      if (nowMs - atMs < prefixRepeatIntervalMs) break
      addedAtMs.delete(key)
    }
  }

  function subtractLoads (node: NodeId): void {
    for (const [backend, load] of reportedByNode.get(node)?.loads ?? []) {
      addLoad(totalLoads, backend, load, -1)
      if (totalLoads.get(backend)?.requests === 0) totalLoads.delete(backend)
    }
  }

  function record (node: NodeId, bootId: string, activity: Activity, hasJustStarted = false): void {
    const before = reportedByNode.get(node)
    recordUsage(node, bootId, activity.quotaUsage, before, hasJustStarted)
    subtractLoads(node)
    for (const [backend, load] of activity.loads) addLoad(totalLoads, backend, load, 1)
    reportedByNode.set(node, { bootId, quotaUsage: new Map(activity.quotaUsage), loads: new Map(activity.loads), suspects: activity.suspects, leaving: activity.leaving ?? new Map() })
    recordPrefixes(node, activity.prefixes)
    speeds.record(node, bootId, activity.speeds)
  }

  function suspectsExcept (node: NodeId): Map<BackendId, SuspectCounts> {
    const suspects = new Map<BackendId, SuspectCounts>()
    for (const [other, reported] of reportedByNode) {
      if (other === node) continue
      for (const [backend, { suspecting, hearing }] of reported.suspects) {
        const counts = suspects.get(backend) ?? { suspecting: 0, hearing: 0 }
        suspects.set(backend, { suspecting: counts.suspecting + suspecting, hearing: counts.hearing + hearing })
      }
    }
    return suspects
  }

  /** The same for all nodes, so that a collector of hundreds doesn't go through all reports for each digest. */
  function allLeaving (): Map<BackendId, number | undefined> {
    const nowMs = clock.monotonicMs()
    if (nowMs < leavingUntilMs) return leavingBackends
    leavingUntilMs = nowMs + leavingCacheMs
    leavingBackends = new Map([...reportedByNode.values()].flatMap(({ leaving }) => [...leaving]))
    return leavingBackends
  }

  function totalsExcept (node: NodeId): Activity {
    const own = reportedByNode.get(node)
    const ownUsage = usageByNode.get(node)
    const quotaUsage = new Map([...totalUsage].map(([team, total]) => [team, sumUsage(total, ownUsage?.get(team) ?? noUsage, -1)]))
    const loads = new Map<BackendId, PeerLoad>()
    for (const [backend, load] of totalLoads) {
      const ownLoad = own?.loads.get(backend)
      const rest = ownLoad === undefined ? load : { requests: load.requests - ownLoad.requests, pendingTokens: load.pendingTokens - ownLoad.pendingTokens }
      if (rest.requests > 0) loads.set(backend, rest)
    }
    const lastSent = lastSentNumbers.get(node) ?? 0
    lastSentNumbers.set(node, prefixNumber)
    const newPrefixes = prefixes.filter(({ from, number }) => number > lastSent && from !== node).slice(-Math.max(1, maxPrefixes()))
    return { quotaUsage, loads, prefixes: newPrefixes.map(({ backend, hashes }) => ({ backend, hashes })), suspects: suspectsExcept(node), leaving: allLeaving(), speeds: speeds.totalsExcept(node) }
  }

  return {
    record,
    remove: node => {
      subtractLoads(node)
      reportedByNode.delete(node)
      speeds.remove(node)
    },
    totalsExcept,
    nodeCountExcept: node => reportedByNode.size - (reportedByNode.has(node) ? 1 : 0)
  }
}
