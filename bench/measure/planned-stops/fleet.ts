/** Entry nodes that are stopped and start again, and the balancer before them. */
import { createStopGate } from '../../../src/core/planned-stops/index.ts'
import { createReportedStops, deliverReport } from './reported-stops.ts'
import type { Clock } from '../../../src/core/clock/index.ts'
import type { PlannedStop } from '../../../src/core/planned-stops/index.ts'
import type { Random } from '../../../src/core/random/index.ts'
import type { EntryNode, NodeState } from './entry-node.ts'
import type { OtherNodes, StopView } from './policies.ts'

/** The nodes of a play. */
export interface Fleet {
  nodes: readonly EntryNode[]
  /** Nodes to which the balancer sends new connections of callers in a failure domain. */
  poolOf: (domain: number) => readonly EntryNode[]
  stop: (node: EntryNode) => void
  /** Checks readiness, ends stops and starts nodes; `onEnd` ends the open work of a node. */
  tick: (onEnd: (node: EntryNode) => void) => void
  viewOf: (node: EntryNode) => StopView
}

/** Planned end of a stop after the signal. */
export const stopMs = 7_500
const minStopMs = 2_700
/** A stop ends early once no request has been open for this time. */
const quietMs = 1_000
const minRestartMs = 200
const maxRestartMs = 500
const expectedRestartMs = (minRestartMs + maxRestartMs) / 2
const checkEveryMs = 1_000
const missesUntilOut = 2
/** Longest time that the balancer takes from the second miss on. */
const maxRemovalMs = 700
const outOfRotationMs = missesUntilOut * checkEveryMs + maxRemovalMs
/** Age of what nodes know of each other. */
const reportAgeMs = 400

/** Options of the nodes. */
interface FleetOptions {
  random: Random
  clock: Clock
  nodeCount: number
  domainCount: number
  /** From this time after the signal on, a stream that is taken must not be cut. */
  streamsCompleteAfterMs: number
}

/** Creates nodes that serve. */
export function createFleet ({ random, clock, nodeCount, domainCount, streamsCompleteAfterMs }: FleetOptions): Fleet {
  const nowMs = clock.monotonicMs
  const reports: Array<{ arrivesAtMs: number, from: EntryNode, isDraining: boolean }> = []

  function stopOf ({ state, signalledAtMs }: EntryNode): PlannedStop | undefined {
    if (state === 'up') return undefined
    return { requestedAtMs: signalledAtMs, streamsCompleteFromMs: signalledAtMs + streamsCompleteAfterMs, endsAtMs: signalledAtMs + stopMs, holdUntil: () => {} }
  }

  /** What a process has in memory only, new at each start. */
  function createMemory (node: () => EntryNode, domain: number): Pick<EntryNode, 'gate' | 'stops'> {
    return {
      gate: createStopGate({ clock, stop: () => stopOf(node()) }),
      stops: createReportedStops({ domain, others: () => nodes.filter(other => other !== node()), clock, isReporting: other => knownState(other) !== 'down' })
    }
  }

  const nodes: EntryNode[] = Array.from({ length: nodeCount }, (_, index) => {
    const domain = index % domainCount
    const node: EntryNode = {
      index,
      domain,
      state: 'up',
      life: 0,
      ...createMemory(() => node, domain),
      signalledAtMs: -Infinity,
      changedAtMs: -Infinity,
      priorState: 'up',
      upAgainAtMs: -Infinity,
      lastOpenAtMs: -Infinity,
      openCount: 0,
      isInRotation: true,
      misses: 0,
      nextCheckAtMs: random() * checkEveryMs,
      leavesRotationAtMs: undefined
    }
    return node
  })

  function setState (node: EntryNode, state: NodeState): void {
    node.priorState = node.state
    node.state = state
    node.changedAtMs = nowMs()
    if (state !== 'down') reports.push({ arrivesAtMs: nowMs() + reportAgeMs, from: node, isDraining: state === 'stopping' })
  }

  function start (node: EntryNode): void {
    setState(node, 'up')
    node.life += 1
    Object.assign(node, createMemory(() => node, node.domain))
    for (const other of nodes) if (other !== node && knownState(other) === 'stopping') deliverReport(node, other, true)
  }

  function deliverReports (): void {
    for (let next = reports[0]; next !== undefined && next.arrivesAtMs <= nowMs(); next = reports[0]) {
      reports.shift()
      for (const node of nodes) if (node !== next.from && node.state !== 'down') deliverReport(node, next.from, next.isDraining)
    }
  }

  function checkReadiness (node: EntryNode): void {
    if (nowMs() >= node.nextCheckAtMs) {
      node.nextCheckAtMs += checkEveryMs
      node.misses = node.state === 'up' ? 0 : node.misses + 1
      if (node.misses === 0) {
        node.isInRotation = true
        node.leavesRotationAtMs = undefined
      }
      if (node.misses === missesUntilOut) node.leavesRotationAtMs = nowMs() + random() * maxRemovalMs
    }
    if (node.leavesRotationAtMs !== undefined && nowMs() >= node.leavesRotationAtMs) node.isInRotation = false
  }

  function isOver (node: EntryNode): boolean {
    if (nowMs() >= node.signalledAtMs + stopMs) return true
    return nowMs() >= node.signalledAtMs + minStopMs && node.openCount === 0 && nowMs() >= node.lastOpenAtMs + quietMs
  }

  /** Nodes of the failure domain that are in rotation if they are at least half of it, else all of the domain, as few ready nodes would be overloaded; another domain's once none is left. */
  function poolOf (domain: number): readonly EntryNode[] {
    const own = nodes.filter(node => node.domain === domain)
    const inRotation = own.filter(node => node.isInRotation)
    if (inRotation.length >= own.length / 2 && inRotation.length > 0) return inRotation
    if (inRotation.length > 0) return own
    const elsewhere = nodes.filter(node => node.isInRotation)
    return elsewhere.length > 0 ? elsewhere : nodes
  }

  /** The state that the reports tell other nodes. */
  function knownState (node: EntryNode): NodeState {
    return node.changedAtMs <= nowMs() - reportAgeMs ? node.state : node.priorState
  }

  function backAtMs (node: EntryNode): number {
    return Math.min(node.signalledAtMs + stopMs, node.state === 'down' ? node.changedAtMs : Infinity) + expectedRestartMs
  }

  function summaryOf (node: EntryNode, others: readonly EntryNode[]): OtherNodes {
    const servingCount = others.filter(other => knownState(other) === 'up').length
    const notServing = [node, ...others.filter(other => knownState(other) !== 'up')]
    const untilNextBackMs = Math.max(0, Math.min(...notServing.map(backAtMs)) - nowMs())
    return { count: others.length, servingCount, untilFirstBackMs: servingCount > 0 ? 0 : untilNextBackMs, untilNextBackMs }
  }

  return {
    nodes,
    poolOf,
    stop: node => {
      node.signalledAtMs = nowMs()
      node.stops.onOwnStop(nowMs())
      setState(node, 'stopping')
    },
    tick: onEnd => {
      deliverReports()
      for (const node of nodes) {
        if (node.openCount > 0) node.lastOpenAtMs = nowMs()
        checkReadiness(node)
        if (node.state === 'stopping' && isOver(node)) {
          onEnd(node)
          setState(node, 'down')
          node.upAgainAtMs = nowMs() + minRestartMs + random() * (maxRestartMs - minRestartMs)
        } else if (node.state === 'down' && nowMs() >= node.upAgainAtMs) {
          start(node)
        }
      }
    },
    viewOf: node => {
      const others = nodes.filter(other => other !== node)
      const domainOthers = others.filter(other => other.domain === node.domain)
      const domainOutAtMs = Math.max(...[node, ...domainOthers].map(({ signalledAtMs }) => signalledAtMs + outOfRotationMs))
      return {
        elapsedMs: nowMs() - node.signalledAtMs,
        untilEndMs: node.signalledAtMs + stopMs - nowMs(),
        fleet: summaryOf(node, others),
        domain: summaryOf(node, domainOthers),
        untilDomainIsOutMs: Math.max(0, domainOutAtMs - nowMs()),
        builtRetryMs: node.stops.retryAfterMs()
      }
    }
  }
}
