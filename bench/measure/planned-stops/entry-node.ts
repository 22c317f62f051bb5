/** The state of one entry node in a play, and of what the balancer knows of it. */
import type { NodeStops } from '../../../src/core/node-stops/index.ts'
import type { StopGate } from '../../../src/core/planned-stops/index.ts'

export type NodeState = 'up' | 'stopping' | 'down'

/** One entry node. */
export interface EntryNode {
  index: number
  domain: number
  state: NodeState
  /** Counts the starts; connections end with it. */
  life: number
  gate: StopGate
  /** What it knows of the stops of others. */
  stops: NodeStops
  signalledAtMs: number
  /** When its state changed to what it is, and what it was before. */
  changedAtMs: number
  priorState: NodeState
  upAgainAtMs: number
  /** When a request was open last. */
  lastOpenAtMs: number
  openCount: number
  isInRotation: boolean
  misses: number
  nextCheckAtMs: number
  /** When the balancer's decision takes effect; undefined without one. */
  leavesRotationAtMs: number | undefined
}
