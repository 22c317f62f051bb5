/** Runs one seed of planned stops: each node is stopped and started again and again, with reloads, configuration changes and changes of the servers' paces beside it. */
import { createSystemClock } from '../../src/core/clock/index.ts'
import { createRandom } from '../../src/core/random/index.ts'
import { graceMs } from '../../test/platform-adapter/soak-deployment.ts'
import { startSoakDeployment } from './deployment.ts'
import { createDeliveryChecks } from './delivery-checks.ts'
import { createPaceChange } from './pace.ts'
import { isReady, pollUntil, startTimeoutMs } from './readiness.ts'
import { runStopCallers } from './stop-callers.ts'
import { createPacedLoad, longStreamLoad } from './stop-requests.ts'
import type { NodeProcess } from './node-process.ts'
import type { SoakOptions, SoakResult } from './run.ts'

export interface StopsOptions extends SoakOptions {
  /** Whether backend servers keep their pace. */
  isPaceSteady?: boolean
}

const clock = createSystemClock()
/** Times for which a node serves before it is stopped; longer where it first has to learn how long streams take. */
const maxServingMs = 4_000
const minLearningMs = 6_000
const maxLearningMs = 11_000
/** Largest share of the nodes that stop or start at a time. */
const maxStoppingRatio = 2 / 3
const maxDownMs = 500
/** Shares of stops with a second SIGTERM and with a reload, and of starts that are stopped before the node is ready. */
const secondStopRatio = 0.3
const reloadRatio = 0.3
const earlyStopRatio = 0.4
const maxEarlyStopMs = 600
const maxConfigurationIntervalMs = 4_000
const pollMs = 20
/** Time after SIGTERM from which on the platform sends no new connections to a node. */
const balancerDelayMs = 2_700

export async function runStops ({ seed, durationMs, nodeCount, program, isPaceSteady = false }: StopsOptions): Promise<SoakResult> {
  const checks = createDeliveryChecks()
  const workRandom = createRandom(seed)
  const deployment = await startSoakDeployment({
    nodeCount,
    program,
    onRun: checks.onRun,
    onRunEnd: checks.onRunEnd,
    onArrival: () => {},
    onPrompt: () => {},
    onCrash: () => {},
    onRequestCrash: () => {},
    onLogLine: checks.onLogLine,
    onExit: checks.onExit,
    random: workRandom
  })
  const faults: string[] = []
  const callersEnd = new AbortController()
  const changePace = createPaceChange({ ...deployment.paces, onChange: change => faults.push(change) })
  const endAtMs = clock.monotonicMs() + durationMs
  const isOver = (): boolean => clock.monotonicMs() >= endAtMs
  /** Monotonic time of SIGTERM of each node that isn't ready again. */
  const stopping = new Map<NodeProcess, number>()
  const mayStop = (): boolean => stopping.size < Math.max(1, Math.floor(nodeCount * maxStoppingRatio))

  function stop (node: NodeProcess, name: string): void {
    faults.push(`${name} ${node.name}`)
    checks.onStop({ node: node.name, startCount: node.startCount(), atMs: performance.now(), hasLogged: node.hasLogged() })
    node.stop()
  }

  /** Waits until the process has ended; one that is up after the grace period is killed, as by the platform. */
  async function waitUntilDown (node: NodeProcess): Promise<void> {
    const killAtMs = clock.monotonicMs() + graceMs
    while (node.isUp() && clock.monotonicMs() < killAtMs) await clock.sleep(pollMs)
    if (node.isUp()) node.kill()
    while (node.isUp()) await clock.sleep(pollMs)
  }

  function reload (node: NodeProcess): void {
    faults.push(`reload ${node.name}`)
    node.reload()
  }

  /** Stops a node and starts it again; the signals during the stop are drawn. */
  async function restart (node: NodeProcess, random: () => number): Promise<void> {
    const startCount = node.startCount()
    const after = async (afterMs: number, signal: () => void): Promise<void> => {
      await clock.sleep(afterMs)
      if (node.isUp() && node.startCount() === startCount) signal()
    }
    if (random() < reloadRatio) reload(node)
    stop(node, 'stop')
    const signals: Array<Promise<void>> = []
    if (random() < secondStopRatio) signals.push(after(random() * graceMs, () => stop(node, 'stop again')))
    if (random() < reloadRatio) signals.push(after(random() * graceMs, () => reload(node)))
    // Late in a stop more often, when a node has little time left for what it has taken.
    const paceChange = isPaceSteady ? undefined : clock.sleep(Math.sqrt(random()) * graceMs).then(async () => await changePace(random))
    await waitUntilDown(node)
    await Promise.all(signals)
    await clock.sleep(random() * maxDownMs)
    node.start()
    if (random() < earlyStopRatio) {
      await clock.sleep(random() * maxEarlyStopMs)
      stop(node, 'stop early')
      await waitUntilDown(node)
      node.start()
    }
    await pollUntil(async () => await isReady(node), startTimeoutMs)
    await paceChange
  }

  /** Stops and starts one node again and again. */
  async function restartAgainAndAgain (node: NodeProcess, random: () => number): Promise<void> {
    while (!isOver()) {
      await clock.sleep(isPaceSteady ? random() * maxServingMs : minLearningMs + random() * (maxLearningMs - minLearningMs))
      while (!mayStop()) await clock.sleep(pollMs)
      stopping.set(node, clock.monotonicMs())
      await restart(node, random)
      stopping.delete(node)
    }
  }

  async function changeConfiguration (random: () => number): Promise<void> {
    while (!isOver()) {
      await clock.sleep(random() * maxConfigurationIntervalMs)
      await deployment.publishNextConfiguration()
      faults.push(`configuration ${deployment.configurationVersion()}`)
    }
  }

  try {
    const areAllReady = async (): Promise<boolean> => (await Promise.all(deployment.nodes.map(isReady))).every(Boolean)
    const hasStarted = await pollUntil(areAllReady, startTimeoutMs)
    if (!hasStarted) return { seed, faults, calls: {}, broken: [{ promise: 'recovery', detail: 'not every node became ready after the start' }], logs: {} }
    const load = isPaceSteady ? longStreamLoad : createPacedLoad(createRandom(seed + 1))
    const nodeSeed = (seed + 1) * load.callerCount * nodeCount
    const callers = runStopCallers({
      nodes: deployment.nodes,
      load,
      createRandom: caller => createRandom(seed * load.callerCount + caller + 1),
      idPrefix: `s-${seed}`,
      onDelivery: checks.onDelivery,
      receivesConnections: node => clock.monotonicMs() < (stopping.get(node) ?? Infinity) + balancerDelayMs,
      signal: callersEnd.signal
    })
    await Promise.all([
      ...deployment.nodes.map((node, index) => restartAgainAndAgain(node, createRandom(nodeSeed + index))),
      changeConfiguration(createRandom(nodeSeed + nodeCount))
    ])
    // Answers that the death of all processes cuts must not look complete either.
    callersEnd.abort()
    checks.onKill()
    for (const node of deployment.nodes) node.kill()
    faults.push('kill all nodes')
    await callers
  } finally {
    callersEnd.abort()
    await deployment.close()
  }
  const { broken, calls } = checks.finish()
  return { seed, faults, calls, broken, logs: broken.length === 0 ? {} : Object.fromEntries(deployment.nodes.map(node => [node.name, node.log()])) }
}
