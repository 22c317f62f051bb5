/** The nodes of a play: each with its limits, and the reports between them, directly or through two collectors. */
import { createBackendLimits } from '../../../src/core/backend-limits/index.ts'
import { toId } from '../../../src/core/ids/index.ts'
import { createSilentLog } from '../../../src/core/log/index.ts'
import { createMetrics } from '../../../src/core/metrics/index.ts'
import type { BackendLimits, BackendLimitsOptions, LimitReport, LimitedBackend } from '../../../src/core/backend-limits/index.ts'
import type { ManualClock } from '../../../src/core/clock/index.ts'
import type { BackendId, NodeId } from '../../../src/core/ids/index.ts'

/** Creates the limits of a node; other implementations have the same signature. */
export type CreateLimits = (options: BackendLimitsOptions) => BackendLimits

/** One node. */
export interface ClusterNode {
  index: number
  id: NodeId
  limits: BackendLimits
  isUp: boolean
  /** Part of the cluster that it can reach. */
  side: number
  /** The collector whose digests it uses; undefined if it uses the reports that it gets. */
  source: number | undefined
  /** Latest reports by sender. */
  reports: Map<number, { report: LimitReport, receivedAtMs: number, source: number | undefined }>
  lastDigestAtMs: number
  reportCount: number
}

/** Options of a cluster. */
export interface ClusterOptions {
  nodeCount: number
  clock: ManualClock
  random: () => number
  draw: (text: string) => number
  backends: ReadonlyMap<BackendId, LimitedBackend>
  createLimits: CreateLimits
}

/** The nodes and their exchange of reports. */
export interface Cluster {
  nodes: ClusterNode[]
  /** Replaces a node by one that knows nothing. */
  restart: (index: number) => void
  /** Sends the reports that are due; called at each tick. */
  tick: () => void
}

/** From this number of nodes on, reports go through collectors, as in the product. */
const minCollectorNodes = 16
const reportIntervalMs = 200
const maxCurrentAgeMs = 600
/** Silence of a collector after which another one is used. */
const collectorTimeoutMs = 600
const lossRatio = 0.01
export const tickMs = 10
/** Number of a node's reports after its start to which a collector responds with all limits. */
const newNodeReports = 10

const silentLog = createSilentLog()
const metrics = createMetrics()

/** Creates nodes that have known one another for long. */
export function createCluster ({ nodeCount, clock, random, draw, backends, createLimits = createBackendLimits }: ClusterOptions): Cluster {
  const usesCollectors = nodeCount > minCollectorNodes
  const ids = Array.from({ length: nodeCount }, (_, index) => toId<NodeId>(`node-${index}`))
  const nodes = ids.map((_, index) => createNode(index))

  function createNode (index: number): ClusterNode {
    const others = ids.filter((_, other) => other !== index).map(node => ({ node }))
    const node: ClusterNode = {
      index,
      id: ids[index] as NodeId,
      isUp: true,
      side: 0,
      source: usesCollectors && index !== 0 ? 0 : undefined,
      reports: new Map(),
      lastDigestAtMs: clock.monotonicMs(),
      reportCount: 0,
      limits: createLimits({
        clock,
        log: silentLog,
        metrics,
        random,
        node: ids[index] as NodeId,
        draw,
        otherNodes: () => others,
        reportedDemands: () => {
          const oldestAtMs = clock.monotonicMs() - maxCurrentAgeMs
          const current = [...node.reports].filter(([, { receivedAtMs, source }]) => receivedAtMs >= oldestAtMs && (!usesCollectors || source === index))
          return new Map(current.map(([from, { report }]) => [ids[from] as NodeId, report.demands]))
        },
        getsAllReports: () => node.source === undefined,
        backendOf: id => backends.get(id)
      })
    }
    return node
  }

  function canReach (from: ClusterNode, to: ClusterNode): boolean {
    return to.isUp && from.side === to.side && random() >= lossRatio
  }

  function sendReport (from: ClusterNode): void {
    const report = from.limits.report()
    from.reportCount += 1
    const isSecond = Math.floor(clock.monotonicMs() / reportIntervalMs) % 2 === 0
    for (const to of nodes) {
      if (to === from || (usesCollectors && to.index > 1)) continue
      if (usesCollectors && to.index !== from.source && !isSecond) continue
      if (!canReach(from, to)) continue
      to.reports.set(from.index, { report, receivedAtMs: clock.monotonicMs(), source: from.source })
      to.limits.mergeLimits(report.limits)
      if (from.source === to.index && canReach(to, from)) receiveDigest(from, to.limits.digestFor(from.id, from.reportCount <= newNodeReports))
    }
  }

  function receiveDigest (node: ClusterNode, digest: LimitReport): void {
    node.lastDigestAtMs = clock.monotonicMs()
    node.limits.mergeLimits(digest.limits)
    node.limits.setShares(digest.shares)
  }

  /** Uses the other collector when this one is silent, and the first one again when it can be reached. */
  function chooseSource (node: ClusterNode): void {
    if (!usesCollectors || node.index === 0) return
    const isSilent = clock.monotonicMs() - node.lastDigestAtMs > collectorTimeoutMs
    if (!isSilent && node.source !== undefined) return
    const before = node.source
    if (node.source === 0) node.source = node.index === 1 ? undefined : 1
    else if (nodes[0]?.isUp === true && nodes[0].side === node.side) node.source = 0
    if (node.source === before) return
    node.limits.setShares(undefined)
    node.lastDigestAtMs = clock.monotonicMs()
  }

  return {
    nodes,
    restart: index => { nodes[index] = { ...createNode(index), side: nodes[index]?.side ?? 0 } },
    tick: () => {
      const nowMs = clock.monotonicMs()
      for (const node of nodes) {
        if (!node.isUp || (nowMs + node.index * tickMs) % reportIntervalMs >= tickMs) continue
        chooseSource(node)
        sendReport(node)
      }
    }
  }
}
