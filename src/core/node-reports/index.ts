/**
 * Reports between nodes over UDP. Each report stands by itself, so a lost one
 * costs nothing but its age, and no connection can go silent.
 */
import { createSocket } from 'node:dgram'
import { decode, encode } from 'cbor-x'
import { toId } from '../ids/index.ts'
import type { Clock } from '../clock/index.ts'
import type { BackendId, NodeId, TeamId } from '../ids/index.ts'
import type { Log } from '../log/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { NodeAddress, NodeReport } from './types.ts'

export type * from './types.ts'
export { askViews, serveView } from './view-server.ts'

/** Options of the exchange. */
export interface NodeReportsOptions {
  host: string
  port: number
  node: NodeId
  clock: Clock
  log: Log
  metrics: Metrics
  /** The other nodes as registered. */
  peers: () => NodeAddress[]
  /** This node's report, without its numbering. */
  collect: () => Omit<NodeReport, 'node' | 'life' | 'sequence'>
  onReport: (report: NodeReport) => void
  /** No report came from a node for `silentAfterMs`. */
  onSilent: (node: NodeId) => void
  life: string
}

/** A running exchange. */
export interface NodeReports {
  start: () => Promise<void>
  /** Nodes that were heard lately. */
  heard: () => NodeId[]
  /** The last report of a node that was heard lately. */
  last: (node: NodeId) => NodeReport | undefined
  /** Sends a report now, such as before a stop. */
  tell: () => void
  close: () => void
}

/** Interval between reports in a small fleet; bounds the age of what others know. */
const minIntervalMs = 200
/** Interval added for each node, so that the reports that one node takes in stay bounded. */
const intervalPerNodeMs = 12
/** Intervals without a report after which a node counts as silent; some datagrams are lost. */
const silentIntervals = 7

/** Wire form: short arrays, because a report should fit one datagram. */
type Encoded = [string, string, number, 0 | 1, number, 0 | 1, Array<[string, number, number]>, Array<[string, number, number]>, Array<[number, Array<[string, number]>]>, Array<[string, number]>, Array<[string, string[]]>, unknown]

function encodeReport (report: NodeReport): Buffer {
  const { node, life, sequence, isDraining, revision, reachesStore, quotaTaken, loads, usage, workMs, prefixes, evidence } = report
  const message: Encoded = [
    node, life, sequence, isDraining ? 1 : 0, revision, reachesStore ? 1 : 0,
    [...quotaTaken].map(([team, { quota, tolerance }]) => [team, quota, tolerance]),
    [...loads].map(([backend, load]) => [backend, load.requests, Math.round(load.pendingTokens)]),
    [...usage].map(([window, counts]) => [window, [...counts]]),
    [...workMs].map(([service, sumMs]) => [service, Math.round(sumMs)]),
    prefixes.map(({ backend, hashes }) => [backend, hashes]),
    evidence
  ]
  return encode(message)
}

function decodeReport (bytes: Buffer): NodeReport {
  const [node, life, sequence, draining, revision, reaches, quotaTaken, loads, usage, workMs, prefixes, evidence] = decode(bytes) as Encoded
  return {
    node: toId<NodeId>(node),
    life,
    sequence,
    isDraining: draining === 1,
    revision,
    reachesStore: reaches === 1,
    quotaTaken: new Map(quotaTaken.map(([team, quota, tolerance]) => [toId<TeamId>(team), { quota, tolerance }])),
    loads: new Map(loads.map(([backend, requests, pendingTokens]) => [toId<BackendId>(backend), { requests, pendingTokens }])),
    usage: new Map(usage.map(([window, counts]) => [window, new Map(counts.map(([team, count]) => [toId<TeamId>(team), count]))])),
    workMs: new Map(workMs),
    prefixes: prefixes.map(([backend, hashes]) => ({ backend: toId<BackendId>(backend), hashes })),
    evidence
  }
}

/** Creates the exchange; `start` binds its port. */
export function createNodeReports (options: NodeReportsOptions): NodeReports {
  const { clock, log, metrics, node, life } = options
  const socket = createSocket('udp4')
  const closed = new AbortController()
  const known = new Map<NodeId, { report: NodeReport, heardAtMs: number }>()
  let sequence = 0
  let intervalMs = minIntervalMs

  function tell (): void {
    const peers = options.peers()
    intervalMs = Math.max(minIntervalMs, intervalPerNodeMs * peers.length)
    sequence += 1
    const bytes = encodeReport({ ...options.collect(), node, life, sequence })
    for (const { host, reportPort } of peers) {
      socket.send(bytes, reportPort, host, error => {
        if (error !== null) metrics.count('node_reports_unsent_total')
      })
    }
  }

  function isStale (report: NodeReport): boolean {
    const before = known.get(report.node)?.report
    return before !== undefined && before.life === report.life && before.sequence >= report.sequence
  }

  function receive (bytes: Buffer): void {
    let report: NodeReport
    try {
      report = decodeReport(bytes)
    } catch (error) {
      metrics.count('node_reports_unreadable_total')
      return log('nodeReportUnreadable', { cause: (error as Error).message, sizeBytes: bytes.length })
    }
    if (report.node === node || isStale(report)) return
    if (!known.has(report.node)) log('nodeHeard', { peer: report.node, life: report.life })
    known.set(report.node, { report, heardAtMs: clock.monotonicMs() })
    options.onReport(report)
  }

  function dropSilent (): void {
    const oldestAtMs = clock.monotonicMs() - silentIntervals * intervalMs
    for (const [peer, { heardAtMs }] of known) {
      if (heardAtMs >= oldestAtMs) continue
      known.delete(peer)
      log('nodeSilent', { peer, silentMs: Math.round(clock.monotonicMs() - heardAtMs) })
      options.onSilent(peer)
    }
  }

  async function run (): Promise<void> {
    while (!closed.signal.aborted) {
      tell()
      dropSilent()
      await clock.sleep(intervalMs, closed.signal)
    }
  }

  return {
    start: () => new Promise((resolve, reject) => {
      socket.once('error', reject)
      socket.on('message', receive)
      socket.bind(options.port, options.host, () => {
        socket.off('error', reject)
        socket.on('error', error => log('nodeReportUnreadable', { cause: error.message }))
        run()
        resolve()
      })
    }),
    heard: () => [...known.keys()],
    last: peer => known.get(peer)?.report,
    tell,
    close: () => {
      closed.abort()
      socket.close()
    }
  }
}
