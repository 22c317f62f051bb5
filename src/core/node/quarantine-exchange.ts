/** Lets the quarantines of all nodes exchange what they know over the peer network, and keeps their records in the key-value service. */
import { createStoredQuarantine, decodeQuarantineReport, encodeQuarantineReport, quarantineKey, createQuarantine } from '../quarantine/index.ts'
import { sample } from '../membership/prober.ts'
import type { Clock } from '../clock/index.ts'
import type { KeyValueEntry, KeyValueStore } from '../platform/key-value/index.ts'
import type { Log } from '../log/index.ts'
import type { Membership, PeerNetwork } from '../peers/types.ts'
import type { Metrics } from '../metrics/index.ts'
import type { QuarantineReport, Quarantine, WireQuarantine } from '../quarantine/index.ts'

/** Options of the exchange. */
export interface QuarantineExchangeOptions {
  clock: Clock
  log: Log
  metrics: Metrics
  random: () => number
  network: PeerNetwork
  membership: Membership
  store: KeyValueStore
  /** Whether this node is one of the few that write the records. */
  isWriter: () => boolean
}

/** A quarantine with its exchange. */
export interface QuarantineExchange {
  quarantine: Quarantine
  close: () => void
}

const reportKind = 'quarantine/report'
const reportIntervalMs = 500
/** Shortest time before a report that is sent ahead of the interval. */
const minReportIntervalMs = 50
/** Receivers of one report; in a larger cluster they are drawn anew each time, and pass records on. */
const maxReceivers = 64
/** Interval at which a writer reads the stored records, which an operator may have changed. */
const readIntervalMs = 2_000
const callTimeoutMs = 1_000

function isEmpty ({ crashed, answered, trials, records }: QuarantineReport): boolean {
  return crashed.length + answered.size + trials.length + records.length === 0
}

/** Creates the quarantine of a node and starts to exchange reports. */
export function createQuarantineExchange (options: QuarantineExchangeOptions): QuarantineExchange {
  const { clock, log, network, membership, store, random } = options
  const closed = new AbortController()
  let lastReportAtMs = -Infinity

  async function read (key: string): Promise<KeyValueEntry | undefined> {
    const result = await store.get(key, { deadlineAtMs: clock.wallMs() + callTimeoutMs })
    return result.isOk ? result.value.entry : undefined
  }

  const quarantine: Quarantine = createQuarantine({
    ...options,
    nodeCount: () => membership.peers().length + 1,
    // Two reports, in case that one is lost.
    reportDelayMs: () => 2 * reportIntervalMs,
    isDeciding: () => true,
    onUrgent: () => {
      if (clock.monotonicMs() >= lastReportAtMs + minReportIntervalMs) sendReport()
    },
    claimTrial: record => stored.claimTrial(record)
  })
  const stored = createStoredQuarantine({ store, clock, log, writeConditions: () => options.isWriter() ? [] : undefined, read, quarantine })

  function sendReport (): void {
    lastReportAtMs = clock.monotonicMs()
    const report = quarantine.report()
    if (isEmpty(report)) return
    const body = encodeQuarantineReport(report)
    const peers = membership.peers()
    for (const peer of peers.length <= maxReceivers ? peers : sample(peers, maxReceivers, random)) network.send(peer, reportKind, body)
  }

  /** Reads the records once at the start, and then regularly on the few nodes that write them. */
  async function exchangeWithStore (): Promise<void> {
    let hasRead = false
    while (!closed.signal.aborted) {
      if (!hasRead || options.isWriter()) {
        const result = await store.get(quarantineKey, { deadlineAtMs: clock.wallMs() + callTimeoutMs })
        hasRead ||= result.isOk
        if (result.isOk) stored.onContent(result.value.entry?.value)
        if (result.isOk) await stored.reconcile()
      }
      await clock.sleep(readIntervalMs, closed.signal)
    }
  }

  async function exchangeWithPeers (): Promise<void> {
    while (!closed.signal.aborted) {
      sendReport()
      await clock.sleep(reportIntervalMs, closed.signal)
    }
  }

  network.handle(reportKind, (from, body) => quarantine.merge(from, decodeQuarantineReport(body as WireQuarantine)))
  exchangeWithStore()
  exchangeWithPeers()
  return { quarantine, close: () => closed.abort() }
}
