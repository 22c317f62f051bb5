/** Nodes in front of backend servers of one service, some of which limit the requests that they take; on a manual clock, without a network. */
import { createBackendLimits } from '../../../src/core/backend-limits/index.ts'
import { createManualClock } from '../../../src/core/clock/index.ts'
import { toId } from '../../../src/core/ids/index.ts'
import { createRandom } from '../../../src/core/random/index.ts'
import { createPromptHasher } from '../../../src/core/routing/index.ts'
import { createCluster, tickMs } from './cluster.ts'
import type { LimitedBackend } from '../../../src/core/backend-limits/index.ts'
import type { BackendId } from '../../../src/core/ids/index.ts'
import type { ClusterNode, CreateLimits } from './cluster.ts'

/** What happens to the nodes or the limits beside. */
export type LimitTrouble = 'none' | 'restarts' | 'cut' | 'moving-limit' | 'collector-death'

/** One play. */
export interface LimitScenario {
  nodes: number
  servers: number
  /** Number of servers that name a limit. */
  limited: number
  perSecond: number
  /** Requests a second of all callers. */
  demandPerSecond: number
  trouble: LimitTrouble
  seed: number
  createLimits?: CreateLimits
}

/** What became of a play. */
export interface LimitResult {
  /** Most requests that a limited server got in a window, as a ratio to what the rule allows; from one second after its first answer with the limit. */
  largestRatio: number
  /** The same, counting only nodes that had passed on such an answer half a second before. */
  largestToldRatio: number
  /** Requests that limited servers got, as a ratio to their limits, from two seconds after they were named. */
  use: number
  /** Share of all requests from then on that were sent to a server. */
  servedRatio: number
}

interface Server extends LimitedBackend {
  isLimited: boolean
  firstNamedAtMs: number | undefined
  arrivals: Array<{ atMs: number, isTold: boolean }>
}

interface Answer {
  node: ClusterNode
  server: Server
  sentAtMs: number
  readAtMs: number
}

const service = 'models'
const windowMs = 4_000
const limitFromMs = 3_000
const troubleFromMs = 7_000
const troubleUntilMs = 13_000
const endMs = 22_000
const checkedAfterMs = 1_000
const usedAfterMs = 2_000
const toldAfterMs = 500
const minAnswerMs = 20
const maxAnswerMs = 120
const restartMs = 500
const hasher = await createPromptHasher()

/** The limit that servers name at a time. */
function limitAt ({ perSecond, trouble }: LimitScenario, atMs: number): number {
  const factors = [1, 2, 0.5, 1.5]
  return trouble === 'moving-limit' ? perSecond * (factors[Math.floor(atMs / 1_000) % factors.length] ?? 1) : perSecond
}

function limitSum (scenario: LimitScenario, fromMs: number, toMs: number): number {
  let sum = 0
  for (let atMs = fromMs; atMs < toMs; atMs += tickMs) sum += limitAt(scenario, atMs) * tickMs / 1_000
  return sum
}

/** Most arrivals in a window as a ratio to the rule's bound for it. */
function largestRatioOf (scenario: LimitScenario, times: readonly number[], fromMs: number): number {
  let largest = 0
  let last = 0
  const allowedSteady = 1.5 * scenario.perSecond * windowMs / 1_000 + 5
  for (const [first, startMs] of times.entries()) {
    if (startMs < fromMs) continue
    while (last < times.length && (times[last] ?? Infinity) < startMs + windowMs) last += 1
    const allowed = scenario.trouble === 'moving-limit' ? 1.5 * limitSum(scenario, startMs, startMs + windowMs) + 5 : allowedSteady
    largest = Math.max(largest, (last - first) / allowed)
  }
  return largest
}

/** Plays a scenario. */
export async function playRequestLimits (scenario: LimitScenario): Promise<LimitResult> {
  const { nodes: nodeCount, trouble, demandPerSecond, createLimits = createBackendLimits } = scenario
  const clock = createManualClock()
  const random = createRandom(scenario.seed)
  const servers: Server[] = Array.from({ length: scenario.servers }, (_, index) => ({
    id: toId<BackendId>(`i-${index}`), service, startedAtMs: 1_000, isLimited: index < scenario.limited, firstNamedAtMs: undefined, arrivals: []
  }))
  const cluster = createCluster({ nodeCount, clock, random, draw: hasher.draw, createLimits, backends: new Map(servers.map(server => [server.id, server])) })
  const weights = Array.from({ length: nodeCount }, () => 0.4 + 1.2 * random())
  const totalWeight = weights.reduce((sum, weight) => sum + weight, 0)
  const toldAtMs = new Map<string, number>()
  const upFromMs = new Map<number, number>()
  let answers: Answer[] = []
  let requestDebt = 0
  let asked = 0
  let served = 0

  function pickNode (): ClusterNode | undefined {
    let draw = random() * totalWeight
    const index = weights.findIndex(weight => (draw -= weight) < 0)
    const node = cluster.nodes[Math.max(0, index)]
    return node?.isUp === true ? node : cluster.nodes.find(({ isUp }) => isUp)
  }

  /** Limited servers with a permit are hardly loaded, so they are chosen first. */
  function pickServer (node: ClusterNode): Server | undefined {
    const start = Math.floor(random() * servers.length)
    const rotated = [...servers.slice(start), ...servers.slice(0, start)].filter(server => node.limits.hasPermit(server, { rank: 0, isRetry: false }))
    return rotated.find(server => node.limits.stateOf(server) !== undefined) ?? rotated[0]
  }

  function sendRequest (atMs: number): void {
    const node = pickNode()
    if (node === undefined) return
    node.limits.recordDemand(service)
    const isCounted = atMs >= limitFromMs + usedAfterMs
    if (isCounted) asked += 1
    const server = pickServer(node)
    if (server === undefined || node.limits.take(server, { rank: 0, isRetry: false }) === undefined) {
      node.limits.onRefused(service, servers, { rank: 0, isRetry: false })
      return
    }
    if (isCounted) served += 1
    const told = toldAtMs.get(`${node.index}/${server.id}`)
    server.arrivals.push({ atMs, isTold: told !== undefined && told <= atMs - toldAfterMs })
    answers.push({ node, server, sentAtMs: atMs, readAtMs: atMs + minAnswerMs + random() * (maxAnswerMs - minAnswerMs) })
  }

  function readAnswer ({ node, server, sentAtMs }: Answer, atMs: number): void {
    // A node that restarted has lost its connections.
    if (cluster.nodes[node.index] !== node || !node.isUp) return
    const isNamed = server.isLimited && atMs >= limitFromMs
    node.limits.recordResponse(server, isNamed ? { kind: 'named', perSecond: limitAt(scenario, atMs) } : { kind: 'none' }, sentAtMs)
    if (!isNamed) return
    server.firstNamedAtMs ??= atMs
    const key = `${node.index}/${server.id}`
    if (!toldAtMs.has(key)) toldAtMs.set(key, atMs)
  }

  function restartNode (index: number, atMs: number): void {
    const node = cluster.nodes[index]
    if (node !== undefined) node.isUp = false
    upFromMs.set(index, atMs + restartMs)
    for (const { id } of servers) toldAtMs.delete(`${index}/${id}`)
  }

  function applyTrouble (atMs: number): void {
    const third = Math.ceil(nodeCount / 3)
    if (trouble === 'restarts' && atMs >= troubleFromMs && atMs < troubleFromMs + 3_000) {
      const perTick = third * tickMs / 3_000
      const done = Math.floor((atMs - troubleFromMs) / tickMs * perTick)
      const next = Math.floor(((atMs - troubleFromMs) / tickMs + 1) * perTick)
      for (let index = done; index < next; index += 1) restartNode(nodeCount - 1 - index, atMs)
    }
    if (trouble === 'collector-death' && atMs === troubleFromMs) cluster.nodes[0]!.isUp = false
    if (trouble === 'cut' && (atMs === troubleFromMs || atMs === troubleUntilMs)) {
      for (const node of cluster.nodes) node.side = atMs === troubleFromMs ? node.index % 2 : 0
    }
    for (const [index, untilMs] of upFromMs) {
      if (atMs < untilMs) continue
      upFromMs.delete(index)
      cluster.restart(index)
    }
  }

  for (let atMs = 0; atMs < endMs; atMs += tickMs) {
    applyTrouble(atMs)
    cluster.tick()
    const due = answers.filter(({ readAtMs }) => readAtMs <= atMs)
    answers = answers.filter(({ readAtMs }) => readAtMs > atMs)
    for (const answer of due) readAnswer(answer, atMs)
    requestDebt += demandPerSecond * tickMs / 1_000
    for (; requestDebt >= 1; requestDebt -= 1) sendRequest(atMs)
    await clock.advance(tickMs)
  }

  const limitedServers = servers.filter(({ isLimited, firstNamedAtMs }) => isLimited && firstNamedAtMs !== undefined)
  const ratios = (isCounted: (arrival: Server['arrivals'][number]) => boolean): number => Math.max(0, ...limitedServers.map(({ arrivals, firstNamedAtMs = 0 }) => {
    return largestRatioOf(scenario, arrivals.filter(isCounted).map(({ atMs }) => atMs), firstNamedAtMs + checkedAfterMs)
  }))
  const usedFromMs = limitFromMs + usedAfterMs
  const used = limitedServers.reduce((sum, { arrivals }) => sum + arrivals.filter(({ atMs }) => atMs >= usedFromMs).length, 0)
  return {
    largestRatio: ratios(() => true),
    largestToldRatio: ratios(({ isTold }) => isTold),
    use: used / (limitedServers.length * limitSum(scenario, usedFromMs, endMs)),
    servedRatio: served / asked
  }
}
