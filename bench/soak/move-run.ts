/**
 * Runs one seed of a version move under a drill: the store goes away and comes back from an older copy, and nodes are
 * killed, while the move is running or after its result. Servers stop as the platform stops them after a result.
 */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createSystemClock } from '../../src/core/clock/index.ts'
import { createRandom } from '../../src/core/random/index.ts'
import {
  configurationKey, createConfiguration, createMoveOrder, createNodePorts, moveOrderKey, moveResultOf, moveSettings, moveStateKey, nodeSettings, startPlatform
} from '../../test/platform-adapter/soak-deployment.ts'
import { createCaller } from './callers.ts'
import { createNodeProcess, describeOwnEnd } from './node-process.ts'
import { takePortBlock } from './port-block.ts'
import { isReady, pollUntil, startTimeoutMs } from './readiness.ts'
import { startVersionedBackends } from './versioned-backends.ts'
import type { BrokenPromise } from './checks.ts'
import type { SoakOptions, SoakResult } from './run.ts'

/** What is drawn for a run. Times are in ms. */
interface Drill {
  renewalMs: number
  isBad: boolean
  /** Time from the order to the fault; from the result, if the fault waits for that. */
  waitsForResult: boolean
  faultAfterMs: number
  awayMs: number
  copyAgeMs: number
  /** Time from the fault until the operator writes its orders again. */
  operatorAfterMs: number
  killRatio: number
  killAfterMs: number
  downMs: number
  /** Time from the return of the store until the registrations of stopped servers are removed, in renewal intervals. */
  staleRenewals: number
}

interface RequestResult { sentAtMs: number, status: number }

const clock = createSystemClock()
const portsPerNode = 20
const callIntervalMs = 15
const warmUpMs = 4_000
const moveDurationMs = 12_000
const copyIntervalMs = 250
const pollMs = 20
const badFailureRatio = 0.6
/** Times after `taken-back` at which the new servers report that they are leaving, and stop. */
const drainAfterMs = 3_000
const stopAfterMs = 5_000
/** Time after the return of the store and of the nodes from which requests must be served again; the platform's deployments set the same limit. */
const recoveryMs = 12_000
const measuredMs = 4_000
const minServedRatio = 0.25
/** Time after the recovery within which a move must have its result. */
const resultTimeoutMs = 30_000

function drawDrill (random: () => number): Drill {
  const pick = <Value>(values: readonly Value[]): Value => values[Math.floor(random() * values.length)] as Value
  const renewalMs = pick([500, 1_200, 2_000, 3_500, 5_000])
  const waitsForResult = random() < 0.6
  const awayMs = 500 + random() * 4_000
  return {
    renewalMs,
    isBad: random() < 0.35,
    waitsForResult,
    faultAfterMs: waitsForResult ? random() * 1_500 : 1_000 + random() * 8_000,
    awayMs,
    copyAgeMs: 500 + random() * 4_500,
    operatorAfterMs: awayMs + pick([0, random() * 3_000]),
    killRatio: pick([0, 0.5, 1, 1]),
    killAfterMs: random() * (awayMs + 1_500),
    downMs: 300 + random() * 1_300,
    staleRenewals: random() * 3
  }
}

export async function runMove ({ seed, nodeCount, program }: SoakOptions): Promise<SoakResult> {
  const random = createRandom(seed)
  const drill = drawDrill(random)
  const killDraws = Array.from({ length: nodeCount }, random)
  const folder = mkdtempSync(join(tmpdir(), 'soak-'))
  const portBlock = await takePortBlock()
  const platform = await startPlatform()
  platform.setEra(1)
  await platform.put(configurationKey, createConfiguration(1))
  const backendOptions = { platform, renewalMs: drill.renewalMs, random: createRandom(seed + 1) }
  const oldVersion = await startVersionedBackends({ ...backendOptions, version: 'v1', failureRatio: 0 })
  const closeFunctions: Array<() => Promise<void>> = [oldVersion.close, platform.close, portBlock.close]
  const firstPortOf = (index: number): number => portBlock.firstPort + index * portsPerNode
  const seeds = Array.from({ length: nodeCount }, (_, index) => createNodePorts(firstPortOf(index)).control)
  const nodes = seeds.map((_, index) => {
    const name = `front-a-${index + 1}`
    const { callers, readiness } = createNodePorts(firstPortOf(index))
    const storePort = Number(platform.address.split(':')[1])
    return createNodeProcess({
      name,
      program,
      folder,
      callersPort: callers,
      readinessPort: readiness,
      settings: isFirstStart => nodeSettings(name, firstPortOf(index), storePort, seeds, isFirstStart, moveSettings(drill.renewalMs)),
      onExit: exit => {
        const detail = describeOwnEnd(exit)
        if (detail !== undefined) broken.push({ promise: 'process-end', detail })
      }
    })
  })
  const killAllNodes = (): void => nodes.forEach(node => node.kill())
  process.on('exit', killAllNodes)

  const faults: string[] = []
  const broken: BrokenPromise[] = []
  const results: RequestResult[] = []
  const copies: Array<{ atMs: number, copy: ReturnType<typeof platform.copy> }> = []
  const caller = createCaller()
  const timers: NodeJS.Timeout[] = []
  let callCount = 0
  /** The first result that the platform has read, and by which it stopped servers. */
  let firstResult: 'done' | 'taken-back' | undefined

  async function callOnce (): Promise<void> {
    callCount += 1
    const node = nodes[callCount % nodeCount]!
    const sentAtMs = clock.monotonicMs()
    const result = await caller.call(node, `/look-up/a?item=${callCount}`, `m-${seed}-${callCount}`)
    results.push({ sentAtMs, status: result.kind === 'answer' ? result.status : 0 })
  }

  async function readResult (): Promise<'done' | 'taken-back' | undefined> {
    return moveResultOf(await platform.get(moveStateKey))
  }

  /** Stops servers for the first result, as the platform does; another one later undoes what can't be undone. */
  async function applyResult (newVersion: typeof oldVersion): Promise<void> {
    const result = await readResult()
    if (result === undefined || result === firstResult) return
    if (firstResult !== undefined && !broken.some(({ promise }) => promise === 'move-result')) broken.push({ promise: 'move-result', detail: `the result ${firstResult} became ${result}` })
    firstResult ??= result
    if (result === 'done') return await oldVersion.stop()
    timers.push(setTimeout(newVersion.drain, drainAfterMs), setTimeout(newVersion.stop, stopAfterMs))
  }

  async function killSome (): Promise<void> {
    await clock.sleep(drill.killAfterMs)
    const killed = nodes.filter((_, index) => killDraws[index]! < drill.killRatio)
    for (const node of killed) node.kill()
    await clock.sleep(drill.downMs)
    await pollUntil(async () => killed.every(node => !node.isUp()), startTimeoutMs)
    for (const node of killed) node.start()
  }

  async function writeOrder (): Promise<void> {
    await platform.put(moveOrderKey, createMoveOrder('v2', moveDurationMs))
  }

  async function restoreStore (newVersion: typeof oldVersion): Promise<void> {
    const untilMs = clock.monotonicMs() - drill.copyAgeMs
    const { copy } = copies.findLast(({ atMs }) => atMs <= untilMs) ?? copies[0]!
    platform.setFault('silent')
    await clock.sleep(drill.awayMs)
    platform.restore(copy)
    platform.setFault('none')
    await platform.put(configurationKey, createConfiguration(1))
    for (const version of [oldVersion, newVersion]) {
      await version.register()
      timers.push(setTimeout(version.removeStopped, drill.staleRenewals * drill.renewalMs))
    }
    await clock.sleep(drill.operatorAfterMs - drill.awayMs)
    await writeOrder()
  }

  async function play (): Promise<void> {
    for (const node of nodes) node.start()
    if (!await pollUntil(async () => (await Promise.all(nodes.map(isReady))).every(Boolean), startTimeoutMs)) {
      broken.push({ promise: 'recovery', detail: 'not every node became ready after the start' })
      return
    }
    timers.push(setInterval(callOnce, callIntervalMs))
    await clock.sleep(warmUpMs)
    const newVersion = await startVersionedBackends({ ...backendOptions, version: 'v2', failureRatio: drill.isBad ? badFailureRatio : 0 })
    closeFunctions.push(newVersion.close)
    const copying = setInterval(() => copies.push({ atMs: clock.monotonicMs(), copy: platform.copy() }), copyIntervalMs)
    copies.push({ atMs: clock.monotonicMs(), copy: platform.copy() })
    await writeOrder()
    timers.push(copying, setInterval(() => { applyResult(newVersion) }, pollMs))
    if (drill.waitsForResult) await pollUntil(async () => await readResult() !== undefined, moveDurationMs)
    await clock.sleep(drill.faultAfterMs)
    faults.push(`${drill.isBad ? 'bad' : 'good'} version, ${firstResult ?? 'running'}: ${JSON.stringify(drill)}`)
    clearInterval(copying)
    await Promise.all([killSome(), restoreStore(newVersion)])
    await pollUntil(async () => (await Promise.all(nodes.map(isReady))).every(Boolean), recoveryMs)
    const recoveredFromMs = clock.monotonicMs() + recoveryMs
    await clock.sleep(recoveryMs + measuredMs)
    const late = results.filter(({ sentAtMs }) => sentAtMs >= recoveredFromMs)
    const served = late.filter(({ status }) => status === 200).length
    if (served < late.length * minServedRatio) broken.push({ promise: 'recovery', detail: `${served} of ${late.length} requests are served later than ${recoveryMs} ms after the return` })
    await pollUntil(async () => await readResult() !== undefined, resultTimeoutMs)
    const result = await readResult()
    const expected = firstResult ?? (drill.isBad ? 'taken-back' : undefined)
    if (result === undefined || (expected !== undefined && result !== expected) || (drill.isBad && result === 'done')) broken.push({ promise: 'move-result', detail: `the move ends as ${result}, ${expected ?? 'a result'} expected` })
  }

  try {
    await play()
  } finally {
    for (const timer of timers) clearTimeout(timer)
    caller.close()
    killAllNodes()
    process.off('exit', killAllNodes)
    for (const close of closeFunctions) await close()
    rmSync(folder, { recursive: true, force: true })
  }
  const calls: Record<string, number> = {}
  for (const { status } of results) calls[status] = (calls[status] ?? 0) + 1
  return { seed, faults, calls, broken, logs: broken.length === 0 ? {} : Object.fromEntries(nodes.map(node => [node.name, node.log()])) }
}
