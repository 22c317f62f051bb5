/** Creates the ends of moves with their explanations for the operator. */
import type { RegressionEvidence, EndReason, MoveEnd } from './types.ts'

function describe ({ route, kind, newBad, newTotal, oldBad, oldTotal }: RegressionEvidence): string {
  return `${kind} on route "${route}": ${newBad} of ${newTotal} attempts of the new version, compared with ${oldBad} of ${oldTotal} of the old version in the same period`
}

/** Creates an end with a given explanation. */
export function createEnd (word: MoveEnd['word'], reason: EndReason, detail: string, atMs: number): MoveEnd {
  return { word, reason, detail, atMs }
}

/** Creates the end of a move whose new version has a regression. */
export function createRegressionEnd (evidence: RegressionEvidence, atMs: number): MoveEnd {
  return { word: 'taken-back', reason: 'bad-version', detail: describe(evidence), evidence, atMs }
}
