/** The texts of refusals. */
import { isRequestDigest } from './request-digest.ts'
import type { RequestFeature } from '../ids/index.ts'

/** Why a request is refused, in words. */
export function explainRefusal (kind: 'quarantined' | 'suspected', features: readonly RequestFeature[]): string {
  const names = features.join(', ')
  if (features.some(isRequestDigest)) {
    return kind === 'quarantined' ? `Backend servers crashed on this request (${names}); don't repeat it.` : `Backend servers may have crashed on this request (${names}).`
  }
  return kind === 'quarantined' ? `Backend servers crashed on prompts with ${names}; change the prompt.` : `Backend servers may have crashed on prompts with ${names}.`
}
