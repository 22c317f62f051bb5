/** Runs one seed of the soak: load and faults for a set time, then recovery, then the checks that need all observations. */
import { createSystemClock } from '../../src/core/clock/index.ts'
import { createRandom } from '../../src/core/random/index.ts'
import { promptHeaders } from '../../test/platform-adapter/soak-deployment.ts'
import { createCaller } from './callers.ts'
import { coldPerSecond, createChecks, evacuationBoundMs } from './checks.ts'
import { startDrill, startFault } from './faults.ts'
import { startSoakDeployment, zones } from './deployment.ts'
import { describeOwnEnd } from './node-process.ts'
import { isReady, pollUntil, startTimeoutMs } from './readiness.ts'
import { findConflictingReports } from './usage-check.ts'
import type { BrokenPromise } from './checks.ts'
import type { Caller } from './callers.ts'
import type { Fault } from './faults.ts'
import type { NodeProcess } from './node-process.ts'

export interface SoakOptions {
  seed: number
  /** Time during which faults are injected; start and recovery come on top. */
  durationMs: number
  /** From 17 nodes on, nodes exchange their reports through collectors. */
  nodeCount: number
  /** Path of the built program that the nodes run. */
  program: string
}

export interface SoakResult {
  seed: number
  faults: string[]
  /** Number of requests by HTTP status, or by kind of result when there was no response. */
  calls: Record<string, number>
  broken: BrokenPromise[]
  /** The last log lines of each node; empty if no promise was broken. */
  logs: Record<string, string[]>
}

const callerCount = 6
const meanCallIntervalMs = 25
const minFaultMs = 300
const maxFaultMs = 2_500
const maxFaultIntervalMs = 900
const maxEvacuationPauseMs = 3_000
/** Longest time for which an evacuation goes on after its bound. */
const maxEvacuationRestMs = 6_000
const pollMs = 50
const coldEngines = { startMs: 3_000, perSecond: coldPerSecond }
/** Time after the last fault within which all nodes must serve again; the platform's deployments set the same limit. */
const recoveryTimeoutMs = 15_000
/** Share of calls that go to a probe route, which exists in one configuration version only. */
const probeRatio = 0.15
/** Share of calls that are prompts, and share of these that have a part that crashes engines, if there is one. */
const draftRatio = 0.4
const crashingRatio = 0.25
/** Share of look-ups that repeat the request that crashes backend servers, if there is one. */
const repeatRatio = 0.5
/** Number of different look-ups and registrations; the first ones come more often. */
const itemCount = 60

const clock = createSystemClock()

export async function runSoak ({ seed, durationMs, nodeCount, program }: SoakOptions): Promise<SoakResult> {
  const random = createRandom(seed)
  // Callers have their own generator, because their timing varies and the faults must be the same in each run of a seed.
  const callRandom = createRandom(seed + 1)
  const checks = createChecks()
  const deployment = await startSoakDeployment({
    nodeCount,
    program,
    onRun: checks.onRun,
    onArrival: arrival => checks.onArrival({ ...arrival, atMs: performance.now() }),
    onAttempt: attempt => checks.onAttempt({ ...attempt, atMs: performance.now() }),
    onPrompt: (id, parts) => checks.onPrompt({ id, parts, atMs: performance.now() }),
    onRequestCrash: path => checks.onRequestCrash(path, performance.now()),
    onExit: exit => {
      const detail = describeOwnEnd(exit)
      if (detail !== undefined) checks.onBrokenPromise({ promise: 'process-end', detail })
    },
    onCrash: () => checks.onCrash(deployment.crashing.part ?? '', performance.now()),
    coldEngines,
    random: callRandom
  })
  const faults: string[] = []
  const loadStopController = new AbortController()
  let callCount = 0

  async function callOnce (caller: Caller): Promise<void> {
    const node = deployment.nodes[Math.floor(callRandom() * deployment.nodes.length)]!
    const startCount = node.startCount()
    const interruptionCount = node.interruptionCount()
    const wasInterrupted = node.isInterrupted()
    callCount += 1
    const id = `r-${seed}-${callCount}`
    checks.onSent({ id, node: node.name, startCount, interruptionCount, atMs: performance.now() })
    if (callRandom() < draftRatio) return await sendDraft(caller, node, id)
    const routeDraw = callRandom()
    if (routeDraw < probeRatio) {
      const version = Math.max(1, deployment.configurationVersion() - Math.floor(callRandom() * 2))
      const newestBefore = checks.newestVersionOf(node.name, startCount)
      const result = await caller.call(node, `/version-${version}/`, id)
      if (result.kind === 'answer' && result.status === 200 && node.startCount() === startCount) checks.onConfigurationServed(node.name, startCount, version, newestBefore)
      return
    }
    const isIdempotent = routeDraw < probeRatio + (1 - probeRatio) / 2
    const crashingPath = isIdempotent && callRandom() < repeatRatio ? deployment.crashing.path : undefined
    const item = Math.floor(callRandom() ** 2 * itemCount)
    const path = crashingPath ?? (isIdempotent ? `/look-up/a?item=${item}` : `/register/a?item=${item}`)
    const result = await caller.call(node, path, id, { method: isIdempotent ? 'GET' : 'POST' })
    checks.onCall({ id, isIdempotent, crashingPath, node: node.name, startCount, wasInterrupted: wasInterrupted || node.interruptionCount() !== interruptionCount, result })
  }

  /** Sends a prompt; while a part crashes engines, some prompts have it. */
  async function sendDraft (caller: Caller, node: NodeProcess, id: string): Promise<void> {
    const { part } = deployment.crashing
    const isCrashing = part !== undefined && callRandom() < crashingRatio
    const document = isCrashing ? part : `d0c${Math.floor(callRandom() * 6)}`
    const result = await caller.call(node, `/draft/a?request=${id}`, id, { method: 'POST', headers: promptHeaders(id, [`5e5${Math.floor(callRandom() * 3)}`, document]) })
    checks.onDraft({ id, node: node.name, part: isCrashing ? part : undefined, result })
  }

  async function runCaller (): Promise<void> {
    const caller = createCaller()
    while (!loadStopController.signal.aborted) {
      await callOnce(caller)
      await clock.sleep(meanCallIntervalMs * 2 * callRandom())
    }
    caller.close()
  }

  /** Starts faults at random intervals; each ends after its own duration, so several overlap. */
  async function injectFaults (): Promise<void> {
    const endAtMs = clock.monotonicMs() + durationMs
    const openFaults: Array<Promise<void>> = []
    while (clock.monotonicMs() < endAtMs) {
      const fault = await startFault(deployment, random)
      faults.push(fault.name)
      openFaults.push(endLater(fault, minFaultMs + random() * (maxFaultMs - minFaultMs)))
      await clock.sleep(random() * maxFaultIntervalMs)
    }
    await Promise.all(openFaults)
  }

  /** Plays one drill beside the other faults, with a generator of its own, so that the drawn faults of a seed stay the same. */
  async function playDrill (): Promise<void> {
    const drillRandom = createRandom(seed + 2)
    await clock.sleep(drillRandom() * durationMs)
    const drill = await startDrill(deployment, drillRandom)
    faults.push(drill.name)
    await drill.end()
  }

  /** Evacuates failure domains one after the other, with a generator of its own. */
  async function playEvacuations (): Promise<void> {
    const evacuationRandom = createRandom(seed + 3)
    const endAtMs = clock.monotonicMs() + durationMs
    for (;;) {
      await clock.sleep(evacuationRandom() * maxEvacuationPauseMs)
      if (clock.monotonicMs() >= endAtMs) return
      const zone = zones[Math.floor(evacuationRandom() * zones.length)]!
      await deployment.evacuate(zone)
      faults.push(`domain ${zone} is evacuated`)
      // A restore of the store starts the bound anew.
      const forMs = evacuationBoundMs + (1 + evacuationRandom()) / 2 * maxEvacuationRestMs
      while (deployment.evacuatedForMs() < forMs) await clock.sleep(pollMs)
      await deployment.endEvacuation()
    }
  }

  async function endLater (fault: Fault, afterMs: number): Promise<void> {
    await clock.sleep(afterMs)
    await fault.end()
  }

  async function areAllNodesReady (): Promise<boolean> {
    for (const node of deployment.nodes) node.start()
    return (await Promise.all(deployment.nodes.map(isReady))).every(Boolean)
  }

  /** Checks that after the faults every node serves both the load's route and the newest configuration's probe route. */
  async function checkRecovery (): Promise<void> {
    const caller = createCaller()
    const isServing = async (): Promise<boolean> => {
      if (!await areAllNodesReady()) return false
      const results = await Promise.all(deployment.nodes.flatMap(node => ['/look-up/a', `/version-${deployment.configurationVersion()}/`].map((path, index) => {
        callCount += 1
        return caller.call(node, path, `r-${seed}-${callCount}-${index}`)
      })))
      return results.every(result => result.kind === 'answer' && result.status === 200)
    }
    if (!await pollUntil(isServing, recoveryTimeoutMs)) checks.onBrokenPromise({ promise: 'recovery', detail: 'not every node served requests again in time after the faults' })
    caller.close()
  }

  try {
    if (!await pollUntil(areAllNodesReady, startTimeoutMs)) checks.onBrokenPromise({ promise: 'recovery', detail: 'not every node became ready after the start' })
    const callerTasks = Array.from({ length: callerCount }, runCaller)
    await Promise.all([injectFaults(), playDrill(), playEvacuations()])
    await checkRecovery()
    loadStopController.abort()
    await Promise.all(callerTasks)
    for (const detail of findConflictingReports(deployment.apiCalls)) checks.onBrokenPromise({ promise: 'one-usage-report', detail })
  } finally {
    loadStopController.abort()
    await deployment.close()
  }
  const { broken, calls } = checks.finish()
  return { seed, faults, calls, broken, logs: broken.length === 0 ? {} : Object.fromEntries(deployment.nodes.map(node => [node.name, node.log()])) }
}
