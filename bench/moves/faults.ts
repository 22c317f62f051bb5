/** Faults of a trial, on the time of its move. */
import type { Fault } from './types.ts'
import type { World } from './world.ts'

interface Change {
  /** Part of the move's time at which it happens. */
  at: number
  apply: (world: World) => void
}

const frozenPart = 0.1
const cutPart = 0.2
const downPart = 0.15

/** What happens in a trial, in order of time. */
export function scheduleOf (fault: Fault, random: () => number): Change[] {
  const at = 0.05 + 0.7 * random()
  let undo = (): void => {}
  if (fault === 'holder-killed') return [{ at, apply: world => { world.freeze(world.holder()) } }]
  if (fault === 'holder-frozen') {
    return [
      { at, apply: world => { undo = world.freeze(world.holder()) } },
      { at: at + frozenPart, apply: () => undo() }
    ]
  }
  if (fault === 'service-down') {
    return [
      { at, apply: world => world.service.setFaults({ down: true }) },
      { at: at + downPart, apply: world => world.service.setFaults({}) }
    ]
  }
  if (fault === 'service-down-at-deadline') {
    return [
      { at: 0.9, apply: world => world.service.setFaults({ down: true }) },
      { at: 1.05, apply: world => world.service.setFaults({}) }
    ]
  }
  if (fault === 'answers-lost') {
    return [{ at: 0, apply: world => world.service.setFaults(({ operation }) => operation === 'transact' && random() < 0.3 ? { answerLost: true } : {}) }]
  }
  if (fault === 'peer-links-cut') {
    const undos: Array<() => void> = []
    return [
      {
        at,
        apply: world => {
          const cut = world.holder().node
          for (const { node } of world.nodes) undos.push(world.network.cut(cut, node), world.network.cut(node, cut))
        }
      },
      { at: at + cutPart, apply: () => { for (const heal of undos) heal() } }
    ]
  }
  return []
}
