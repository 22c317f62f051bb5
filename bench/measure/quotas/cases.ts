/** Loads of a team on nodes that restart, lose power or are cut off from one another. */
import { limit } from './play.ts'
import type { ClusterEvent, ClusterLoad } from './play.ts'

/** One case, without the number of nodes and the seed. */
export interface QuotaCase extends Pick<ClusterLoad, 'demandPerSecond' | 'forMs' | 'storesLevels'> {
  name: string
  events: (nodeCount: number) => ClusterEvent[]
}

/** A team that asks for several times its quota from a time on, and for half of it before. */
export function surgeAfter (surgeAtMs: number, ratio: number): (atMs: number) => number {
  return atMs => atMs < surgeAtMs ? limit.perSecond / 2 : limit.perSecond * ratio
}

function allOf (nodeCount: number): number[] {
  return Array.from({ length: nodeCount }, (_, index) => index)
}

/** The restart of all nodes, one after the other. */
export function restartsInTurn (nodeCount: number, fromMs: number, intervalMs: number): ClusterEvent[] {
  return allOf(nodeCount).map(index => ({ atMs: fromMs + index * intervalMs, restart: [index] }))
}

/** Losses of power of all nodes. */
export function lossesOfPower (nodeCount: number, ...atMs: number[]): ClusterEvent[] {
  return atMs.map(ms => ({ atMs: ms, restart: allOf(nodeCount) }))
}

export const quotaCases: QuotaCase[] = [
  { name: 'no disruption', demandPerSecond: surgeAfter(2_000, 7.5), forMs: 30_000, events: () => [] },
  { name: 'all restart in turn, twice', demandPerSecond: surgeAfter(2_000, 7.5), forMs: 30_000, events: count => [...restartsInTurn(count, 6_000, 400), ...restartsInTurn(count, 10_000, 400)] },
  { name: 'all lose power three times', demandPerSecond: surgeAfter(3_000, 7.5), forMs: 20_000, events: count => lossesOfPower(count, 5_000, 6_000, 9_000) },
  { name: 'the same, without the store', demandPerSecond: surgeAfter(3_000, 7.5), forMs: 20_000, storesLevels: false, events: count => lossesOfPower(count, 5_000, 6_000, 9_000) },
  { name: 'a third is cut off, then the load rises', demandPerSecond: surgeAfter(7_000, 7.5), forMs: 22_000, events: count => [{ atMs: 6_000, cut: allOf(Math.ceil(count / 3)) }, { atMs: 13_000, cut: [] }] },
  { name: 'within the quota, all lose power', demandPerSecond: () => limit.perSecond * 0.8, forMs: 40_000, events: count => lossesOfPower(count, 20_000) },
  { name: 'the same, without the store ', demandPerSecond: () => limit.perSecond * 0.8, forMs: 40_000, storesLevels: false, events: count => lossesOfPower(count, 20_000) }
]
