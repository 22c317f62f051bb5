/** Runs one seed with backend servers whose responses are faulty, while nodes are stopped and killed in series: each node keeps running within the memory of its machine, and each request has an end. */
import { createSystemClock } from '../../src/core/clock/index.ts'
import { createRandom } from '../../src/core/random/index.ts'
import { graceMs, promptHeaders } from '../../test/platform-adapter/soak-deployment.ts'
import { createCaller } from './callers.ts'
import { createChecks } from './checks.ts'
import { startSoakDeployment } from './deployment.ts'
import { withFaultyResponses } from './faulty-responses.ts'
import { describeOwnEnd } from './node-process.ts'
import { isReady, pollUntil, startTimeoutMs } from './readiness.ts'
import type { Caller } from './callers.ts'
import type { NodeProcess } from './node-process.ts'
import type { SoakOptions, SoakResult } from './run.ts'

const clock = createSystemClock()
/** Memory of the smaller machines of the users' first deployments. */
const machineMegabytes = 350
const callersPerNode = 6
const meanCallIntervalMs = 15
const draftRatio = 0.4
/** Shares of faulty responses, one after the other; the last servers of each kind stay sound. */
const faultyRatios = [0, 0.05, 0.4, 1]
const maxRatioMs = 2_500
const maxServingMs = 4_000
const maxDownMs = 500
const killRatio = 0.3
const pollMs = 50

export async function runFaultyResponses ({ seed, durationMs, nodeCount, program }: SoakOptions): Promise<SoakResult> {
  const random = createRandom(seed)
  const checks = createChecks()
  const faults: string[] = []
  const soundBackends = ['i-3', 'e-4']
  let faultyRatio = 0
  const deployment = await startSoakDeployment({
    nodeCount,
    program,
    settings: { 'limits.memory_mb': String(machineMegabytes) },
    wrapHandler: (handler, backend) => withFaultyResponses(handler, { backend, random, faultyRatio: () => soundBackends.includes(backend) ? 0 : faultyRatio, onRun: checks.onRun }),
    onRun: checks.onRun,
    onArrival: () => {},
    onPrompt: () => {},
    onCrash: () => {},
    onRequestCrash: () => {},
    onExit: exit => {
      const detail = describeOwnEnd(exit)
      if (detail !== undefined) checks.onBrokenPromise({ promise: 'process-end', detail })
    },
    random
  })
  const { nodes } = deployment
  const endAtMs = clock.monotonicMs() + durationMs
  const isOver = (): boolean => clock.monotonicMs() >= endAtMs
  const overMemory = new Set<string>()
  let callCount = 0

  async function callOnce (caller: Caller, node: NodeProcess, callRandom: () => number): Promise<void> {
    const startCount = node.startCount()
    const interruptionCount = node.interruptionCount()
    const wasInterrupted = node.isInterrupted()
    callCount += 1
    const id = `f-${seed}-${callCount}`
    if (callRandom() < draftRatio) {
      const result = await caller.call(node, `/draft/a?request=${id}`, id, { method: 'POST', headers: promptHeaders(id, [`5e5${Math.floor(callRandom() * 3)}`]) })
      return checks.onDraft({ id, node: node.name, part: undefined, result })
    }
    const isIdempotent = callRandom() < 0.5
    const result = await caller.call(node, isIdempotent ? `/look-up/a?item=${id}` : `/register/a?item=${id}`, id, { method: isIdempotent ? 'GET' : 'POST' })
    checks.onCall({ id, isIdempotent, crashingPath: undefined, node: node.name, startCount, wasInterrupted: wasInterrupted || node.interruptionCount() !== interruptionCount, result })
  }

  async function runCaller (node: NodeProcess, callRandom: () => number): Promise<void> {
    const caller = createCaller()
    while (!isOver()) {
      await callOnce(caller, node, callRandom)
      await clock.sleep(meanCallIntervalMs * 2 * callRandom())
    }
    caller.close()
  }

  async function changeRatio (): Promise<void> {
    while (!isOver()) {
      faultyRatio = faultyRatios[Math.floor(random() * faultyRatios.length)]!
      faults.push(`${faultyRatio * 100} in 100 responses are faulty`)
      await clock.sleep(random() * maxRatioMs)
    }
  }

  /** Stops or kills a node and starts it again, several times. */
  async function restartAgainAndAgain (node: NodeProcess, stopRandom: () => number): Promise<void> {
    while (!isOver()) {
      await clock.sleep(stopRandom() * maxServingMs)
      const isKill = stopRandom() < killRatio
      faults.push(`${isKill ? 'kill' : 'stop'} ${node.name}`)
      if (isKill) node.kill()
      else node.stop()
      const killAtMs = clock.monotonicMs() + graceMs
      while (node.isUp() && clock.monotonicMs() < killAtMs) await clock.sleep(pollMs)
      if (node.isUp()) {
        checks.onBrokenPromise({ promise: 'process-end', detail: `${node.name} was up ${graceMs} ms after SIGTERM` })
        node.kill()
      }
      while (node.isUp()) await clock.sleep(pollMs)
      await clock.sleep(stopRandom() * maxDownMs)
      node.start()
      await pollUntil(async () => await isReady(node), startTimeoutMs)
    }
  }

  async function watchMemory (): Promise<void> {
    while (!isOver()) {
      for (const node of nodes) {
        const start = `start ${node.startCount()} of ${node.name}`
        const peakMegabytes = Math.round((node.peakMemoryBytes() ?? 0) / 1_000_000)
        if (peakMegabytes <= machineMegabytes || overMemory.has(start)) continue
        overMemory.add(start)
        checks.onBrokenPromise({ promise: 'memory-kept', detail: `${start} took ${peakMegabytes} MB of ${machineMegabytes}` })
      }
      await clock.sleep(pollMs)
    }
  }

  try {
    const areAllReady = async (): Promise<boolean> => (await Promise.all(nodes.map(isReady))).every(Boolean)
    if (!await pollUntil(areAllReady, startTimeoutMs)) checks.onBrokenPromise({ promise: 'recovery', detail: 'not every node became ready after the start' })
    const callers = nodes.flatMap((node, index) => Array.from({ length: callersPerNode }, async (_, caller) => await runCaller(node, createRandom(seed * 1_000 + index * callersPerNode + caller))))
    await Promise.all([...callers, changeRatio(), watchMemory(), ...nodes.map(async (node, index) => await restartAgainAndAgain(node, createRandom(seed + 1 + index)))])
  } finally {
    await deployment.close()
  }
  const { broken, calls } = checks.finish()
  return { seed, faults, calls, broken, logs: broken.length === 0 ? {} : Object.fromEntries(nodes.map(node => [node.name, node.log()])) }
}
