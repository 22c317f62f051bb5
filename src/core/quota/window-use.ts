/** Sums of tokens over the last seconds, in slots of an eighth of the window, so that a sum covers up to one slot more than it says. */
import type { Clock } from '../clock/index.ts'
import type { TeamId } from '../ids/index.ts'

/** Number of slots in the window. */
export const slotsPerWindow = 8

/** Tokens by team and time. */
export interface WindowUse {
  add: (team: TeamId, tokens: number) => void
  /** Sum over the current slot and the given number of slots before it. */
  sum: (team: TeamId, slotsBefore?: number) => number
}

/** Creates sums over a window. */
export function createWindowUse (clock: Clock, windowMs: number): WindowUse {
  const slotsByTeam = new Map<TeamId, Array<{ number: number, tokens: number }>>()

  function slotsOf (team: TeamId): Array<{ number: number, tokens: number }> {
    const slots = slotsByTeam.get(team) ?? []
    slotsByTeam.set(team, slots)
    const number = currentSlot()
    if (slots.at(-1)?.number !== number) slots.push({ number, tokens: 0 })
    while ((slots[0]?.number ?? number) < number - slotsPerWindow) slots.shift()
    return slots
  }

  function currentSlot (): number {
    return Math.floor(clock.monotonicMs() * slotsPerWindow / windowMs)
  }

  return {
    add: (team, tokens) => {
      const slot = slotsOf(team).at(-1)
      if (slot !== undefined) slot.tokens += tokens
    },
    sum: (team, slotsBefore = slotsPerWindow) => {
      const first = currentSlot() - slotsBefore
      return slotsOf(team).reduce((total, { number, tokens }) => number >= first ? total + tokens : total, 0)
    }
  }
}
