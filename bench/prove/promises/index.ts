/** The promises that `npm run prove` tries to break. */
import { callsAtMostOnce } from './calls-at-most-once.ts'
import { callsNotRunTrue } from './calls-not-run-true.ts'
import { callsSameAnswer } from './calls-same-answer.ts'
import { callsUnknownNotRepeated } from './calls-unknown-not-repeated.ts'
import type { PromiseProof } from '../types.ts'

export const promises: PromiseProof[] = [callsAtMostOnce, callsSameAnswer, callsNotRunTrue, callsUnknownNotRepeated]
