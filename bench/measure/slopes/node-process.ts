/** Slopes of a real node's processor time and memory, read from its process. */
import { createSystemClock } from '../../../src/core/clock/index.ts'
import { createRandom } from '../../../src/core/random/index.ts'
import type { Slope } from './fit.ts'
import { startNodeDeployment } from './node-deployment.ts'
import type { NodeDeployment } from './node-deployment.ts'

const clock = createSystemClock()
const settleMs = 2000
const windowMs = 6000
/** Engines are asked about every 10 s, so that a reading has to hold several questions. */
const engineWindowMs = 40_000
const promptCharacters = 2000

/** Processor time and memory of the node over a while. */
interface Reading {
  coreShare: number
  residentBytes: number
  keyValueCallsPerSecond: number
  listBytesPerSecond: number
  engineBytesPerSecond: number
}

async function read (node: NodeDeployment, durationMs = windowMs): Promise<Reading> {
  await clock.sleep(settleMs)
  const before = { cpuMs: node.cpuMs(), calls: node.keyValueCalls(), bytes: node.bytes(), atMs: clock.monotonicMs() }
  await clock.sleep(durationMs)
  const elapsedMs = clock.monotonicMs() - before.atMs
  const bytes = node.bytes()
  return {
    coreShare: (node.cpuMs() - before.cpuMs) / elapsedMs,
    residentBytes: node.residentBytes(),
    keyValueCallsPerSecond: (node.keyValueCalls() - before.calls) * 1000 / elapsedMs,
    listBytesPerSecond: (bytes.list - before.bytes.list) * 1000 / elapsedMs,
    engineBytesPerSecond: (bytes.engines - before.bytes.engines) * 1000 / elapsedMs
  }
}

/** Reads the node while drafts arrive at an even rate; counts the answers that were not whole. */
async function readUnderLoad (node: NodeDeployment, perSecond: number, maxTokens: number, failures: { count: number }): Promise<Reading> {
  const stop = new AbortController()
  const open = new Set<Promise<void>>()
  async function drive (): Promise<void> {
    for (let index = 0; !stop.signal.aborted; index += 1) {
      const prompt = `case file ${index} `.repeat(200).slice(0, promptCharacters)
      const answered = node.draft(prompt, maxTokens).then(
        whole => { failures.count += whole ? 0 : 1 },
        () => { failures.count += 1 }
      )
      open.add(answered)
      answered.finally(() => open.delete(answered)).catch(() => {})
      await clock.sleep(1000 / perSecond, stop.signal)
    }
  }
  const driving = drive()
  // Streams of earlier requests have to be open before the reading, as many as there will be.
  await clock.sleep(maxTokens * 20)
  const reading = await read(node)
  stop.abort()
  await driving
  await Promise.all(open)
  return reading
}

const engineCounts = [1, 2, 4]

async function engineSlopes (node: NodeDeployment): Promise<Slope[]> {
  const readings: Array<{ x: number, reading: Reading }> = []
  for (const x of engineCounts) {
    node.setListed(0, x)
    readings.push({ x, reading: await read(node, engineWindowMs) })
  }
  return [
    { name: 'bytes between an idle node and the engines it follows', over: 'engines followed', unit: 'bytes a second', points: readings.map(({ x, reading }) => ({ x, y: reading.engineBytesPerSecond })) },
    { name: 'share of a core of an idle node', over: 'engines followed', unit: 'cores', points: readings.map(({ x, reading }) => ({ x, y: reading.coreShare })) }
  ]
}

async function runnerSlopes (node: NodeDeployment): Promise<Slope[]> {
  const readings: Array<{ x: number, reading: Reading }> = []
  for (const x of [0, 1000, 3000, 10_000]) {
    node.setListed(x, 1)
    readings.push({ x, reading: await read(node) })
  }
  const over = 'runners listed'
  const points = (field: keyof Reading): Slope['points'] => readings.map(({ x, reading }) => ({ x, y: reading[field] }))
  return [
    { name: 'share of a core of an idle node', over, unit: 'cores', points: points('coreShare') },
    { name: 'resident memory of an idle node', over, unit: 'bytes', points: points('residentBytes') },
    { name: 'bytes between an idle node and the instance list', over, unit: 'bytes a second', points: points('listBytesPerSecond') },
    { name: 'key-value calls of an idle node', over, unit: 'calls a second', points: points('keyValueCallsPerSecond') }
  ]
}

/** Measures one node process after another kind of load. */
export async function nodeSlopes (seed: number): Promise<Slope[]> {
  const node = await startNodeDeployment(createRandom(seed))
  const failures = { count: 0 }
  try {
    const requests: Slope = { name: 'share of a core of a node, drafts of 2 tokens', over: 'requests a second', unit: 'cores', points: [] }
    const tokens: Slope = { name: 'share of a core of a node, 10 drafts a second', over: 'token events a second', unit: 'cores', points: [] }
    const keyValue: Slope = { name: 'key-value calls of a node, drafts', over: 'requests a second', unit: 'calls a second', points: [] }
    // The first load only warms the process up.
    await readUnderLoad(node, 20, 50, failures)
    for (const x of [5, 10, 20, 40]) {
      const reading = await readUnderLoad(node, x, 2, failures)
      requests.points.push({ x, y: reading.coreShare })
      keyValue.points.push({ x, y: reading.keyValueCallsPerSecond })
    }
    for (const maxTokens of [10, 50, 100, 200]) {
      const reading = await readUnderLoad(node, 10, maxTokens, failures)
      tokens.points.push({ x: 10 * maxTokens, y: reading.coreShare })
    }
    const idle = [...await engineSlopes(node), ...await runnerSlopes(node)]
    if (failures.count > 0) console.error(`${failures.count} drafts were refused or not whole; the slopes of requests and tokens are too low.`)
    return [requests, tokens, keyValue, ...idle]
  } finally {
    await node.close()
  }
}
