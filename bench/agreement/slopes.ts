/**
 * Bytes a second for each node and calls of the key-value service over the
 * number of nodes, for the feed and two simpler ways: each node polls, each node
 * watches. Prints one JSON object a line, and a least-squares line for each measure.
 *
 *     npx tsx bench/agreement/slopes.ts [--seed 1] [--seconds 120] [--sizes 3,9,15,30,60] [--domains 3]
 *     npx tsx bench/agreement/slopes.ts --tcp [--seconds 40] [--sizes 9,30]
 *
 * With `--tcp`, nodes talk over loopback in real time; bytes then hold the
 * handshakes and heartbeats of the connections, without the headers of TCP and IP.
 */
import { parseArgs } from 'node:util'
import { measuredPrefix, startNodes } from './nodes.ts'
import type { MeasuredNodes } from './nodes.ts'

const { values: flags } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    seconds: { type: 'string', default: '120' },
    sizes: { type: 'string', default: '3,9,15,30,60' },
    domains: { type: 'string', default: '3' },
    tcp: { type: 'boolean', default: false }
  }
})

const seed = Number(flags.seed)
const seconds = Number(flags.seconds)
const sizes = flags.sizes.split(',').map(Number)

const domains = Number(flags.domains)
const latencyMs = 1.5
const transport = flags.tcp ? 'tcp' : 'memory'

/** Time for the first updates of membership to go round. */
const settleMs = flags.tcp ? 30_000 : 150_000

/** 15,000 changes a day. */
const changeIntervalMs = 86_400_000 / 15_000

/** Bytes of one team's value. */
const valueBytes = 1_000

/** A poller reads this often to have a change in force within 3 s. */
const pollIntervalMs = 2_000

/** Step in which a change is looked for. */
const stepMs = 50

interface Row {
  way: 'feed' | 'poll' | 'watch' | 'membership'
  nodes: number
  /** Sent and received. */
  bytesPerNodeSecond: number
  messagesPerNodeSecond: number
  /** Calls begun, and one a second for each waiting watch. */
  callsPerSecond: number
  /** Longest time until a change was in force everywhere. */
  slowestMs: number
  cpuMsPerNodeSecond: number
}

interface Totals {
  bytes: number
  messages: number
}

function totalsOf (measured: MeasuredNodes): Totals {
  const all = measured.nodes.map(({ network }) => network.traffic())
  return {
    bytes: all.reduce((sum, { sentBytes, receivedBytes }) => sum + sentBytes + receivedBytes, 0),
    messages: all.flatMap(({ messages }) => Object.values(messages)).reduce((sum, count) => sum + count, 0)
  }
}

async function write (measured: MeasuredNodes, index: number): Promise<number> {
  const key = `${measuredPrefix}teams/team-${index % 20}`
  const value = `${index} `.padEnd(valueBytes, 'x')
  const operator = measured.service.connect('operator')
  const result = await operator.transact({ compares: [], puts: [{ key, value }], deletes: [] }, { deadlineAtMs: measured.clock.wallMs() + 1_000 })
  return result.isOk ? result.value.revision : 0
}

/** Moves time by one interval of changes; returns when the change was in force everywhere. */
async function awaitChange (measured: MeasuredNodes, revision: number): Promise<number> {
  const startedAtMs = measured.clock.monotonicMs()
  let inForceMs: number | undefined
  while (measured.clock.monotonicMs() - startedAtMs < changeIntervalMs) {
    await measured.clock.advance(stepMs)
    const isInForce = measured.nodes.every(({ feed }) => feed === undefined || feed.revision() >= revision)
    if (isInForce) inForceMs ??= measured.clock.monotonicMs() - startedAtMs
  }
  return inForceMs ?? Infinity
}

async function measureFeed (size: number, withFeed: boolean): Promise<Row> {
  const measured = await startNodes({ size, domains, seed, latencyMs, withFeed, transport })
  for (let index = 0; index < 20; index += 1) await write(measured, index)
  await measured.clock.advance(settleMs)
  measured.service.resetCalls()
  const before = totalsOf(measured)
  const cpuBefore = process.cpuUsage()
  const startedAtMs = measured.clock.monotonicMs()
  let slowestMs = 0
  let writes = 0
  while (measured.clock.monotonicMs() - startedAtMs < seconds * 1_000) {
    slowestMs = Math.max(slowestMs, await awaitChange(measured, await write(measured, writes++)))
  }
  const elapsedSeconds = (measured.clock.monotonicMs() - startedAtMs) / 1_000
  const cpu = process.cpuUsage(cpuBefore)
  const after = totalsOf(measured)
  const calls = measured.service.calls()
  await measured.close()
  const nodeSeconds = size * elapsedSeconds
  return {
    way: withFeed ? 'feed' : 'membership',
    nodes: size,
    bytesPerNodeSecond: (after.bytes - before.bytes) / nodeSeconds,
    messagesPerNodeSecond: (after.messages - before.messages) / nodeSeconds,
    callsPerSecond: (calls.total - writes) / elapsedSeconds + calls.waitingWatches,
    slowestMs: withFeed ? slowestMs : 0,
    cpuMsPerNodeSecond: (cpu.user + cpu.system) / 1_000 / nodeSeconds
  }
}

/** The simpler ways call the service directly; their bytes are those of the values they read. */
async function measureDirect (size: number, way: 'poll' | 'watch'): Promise<Row> {
  const measured = await startNodes({ size: 0, domains, seed, latencyMs, withFeed: false, transport: 'memory' })
  const { clock, service } = measured
  const stop = new AbortController()
  const revisions = new Array<number>(size).fill(0)
  let bytes = 0
  for (let index = 0; index < 20; index += 1) await write(measured, index)

  async function poll (node: number): Promise<void> {
    const client = service.connect(`entry-${node}`)
    await clock.sleep(pollIntervalMs * node / size)
    while (!stop.signal.aborted) {
      const read = await client.list(measuredPrefix, { deadlineAtMs: clock.wallMs() + 1_000 })
      if (read.isOk) {
        revisions[node] = read.value.revision
        bytes += read.value.entries.reduce((sum, { key, value }) => sum + key.length + value.length, 0)
      }
      await clock.sleep(pollIntervalMs)
    }
  }

  function watch (node: number): void {
    service.connect(`entry-${node}`).watch(measuredPrefix, 0, {
      onChanges: (changes, revision) => {
        revisions[node] = revision
        bytes += changes.reduce((sum, { key, value }) => sum + key.length + (value?.length ?? 0), 0)
      },
      onLost: () => {}
    })
  }

  for (let node = 0; node < size; node += 1) {
    if (way === 'poll') poll(node)
    else watch(node)
  }
  await clock.advance(10_000)
  service.resetCalls()
  bytes = 0
  const startedAtMs = clock.monotonicMs()
  let slowestMs = 0
  let writes = 0
  while (clock.monotonicMs() - startedAtMs < seconds * 1_000) {
    const revision = await write(measured, writes++)
    const writtenAtMs = clock.monotonicMs()
    let inForceMs: number | undefined
    while (clock.monotonicMs() - writtenAtMs < changeIntervalMs) {
      await clock.advance(stepMs)
      if (revisions.every(known => known >= revision)) inForceMs ??= clock.monotonicMs() - writtenAtMs
    }
    slowestMs = Math.max(slowestMs, inForceMs ?? Infinity)
  }
  const elapsedSeconds = (clock.monotonicMs() - startedAtMs) / 1_000
  const calls = service.calls()
  stop.abort()
  await clock.advance(pollIntervalMs)
  service.close()
  return {
    way,
    nodes: size,
    bytesPerNodeSecond: bytes / size / elapsedSeconds,
    messagesPerNodeSecond: 0,
    callsPerSecond: (calls.total - writes) / elapsedSeconds + calls.waitingWatches,
    slowestMs,
    cpuMsPerNodeSecond: 0
  }
}

/** Least-squares line of a measure over the number of nodes. */
function fitLine (rows: Row[], measure: 'bytesPerNodeSecond' | 'callsPerSecond'): { slope: number, intercept: number } {
  const meanX = rows.reduce((sum, row) => sum + row.nodes, 0) / rows.length
  const meanY = rows.reduce((sum, row) => sum + row[measure], 0) / rows.length
  const covariance = rows.reduce((sum, row) => sum + (row.nodes - meanX) * (row[measure] - meanY), 0)
  const variance = rows.reduce((sum, row) => sum + (row.nodes - meanX) ** 2, 0)
  const slope = variance === 0 ? 0 : covariance / variance
  return { slope, intercept: meanY - slope * meanX }
}

function print (value: unknown): void {
  process.stdout.write(JSON.stringify(value, (_key, item) => typeof item === 'number' ? Math.round(item * 1_000) / 1_000 : item) + '\n')
}

const rows: Row[] = []
for (const size of sizes) {
  const measured = [await measureFeed(size, false), await measureFeed(size, true)]
  if (!flags.tcp) measured.push(await measureDirect(size, 'poll'), await measureDirect(size, 'watch'))
  measured.forEach(row => print({ transport, ...row }))
  rows.push(...measured)
}
for (const way of new Set(rows.map(row => row.way))) {
  const ofWay = rows.filter(row => row.way === way)
  print({ fit: way, seed, seconds, bytesPerNodeSecond: fitLine(ofWay, 'bytesPerNodeSecond'), callsPerSecond: fitLine(ofWay, 'callsPerSecond') })
}
