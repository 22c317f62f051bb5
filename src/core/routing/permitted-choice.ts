/** Chooses a backend server for which a permit can be taken. */
import { err, ok } from 'true-myth/result'
import type { Result } from 'true-myth'
import type { Backend } from '../backends/types.ts'
import type { Refusal } from '../outcomes/index.ts'
import type { RouteChoice } from './types.ts'

/** A chosen backend server with the permit to send it one request. */
export interface PermittedChoice<Permit> {
  choice: RouteChoice
  permit: Permit
}

/** Why no backend server was chosen, and whether some were left whose permits weren't refused. */
export interface NoPermittedChoice {
  refusal: Refusal
  hasPermitsLeft: boolean
}

/** Chooses with `choose` and takes the permit of the chosen one. One without a permit is left out of the next choice, which bounds their number by that of the backend servers. */
export function choosePermitted<Permit> (
  backends: readonly Backend[],
  choose: (backends: readonly Backend[]) => Result<RouteChoice, Refusal>,
  take: (choice: RouteChoice) => Permit | undefined
): Result<PermittedChoice<Permit>, NoPermittedChoice> {
  let remaining = backends
  let chosen = choose(remaining)
  while (chosen.isOk) {
    const choice = chosen.value
    const permit = take(choice)
    if (permit !== undefined) return ok({ choice, permit })
    remaining = remaining.filter(({ id }) => id !== choice.backend.id)
    chosen = choose(remaining)
  }
  return err({ refusal: chosen.error, hasPermitsLeft: remaining.length > 0 })
}
