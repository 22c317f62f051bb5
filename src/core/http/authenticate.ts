/**
 * Authenticates callers and operators by bearer token. The node only knows
 * digests of tokens and compares them in constant time. Tokens are never logged.
 */
import { createHash, timingSafeEqual } from 'node:crypto'

/** Extracts the token of an Authorization header; undefined if the header is missing or malformed. */
export function bearerToken (header: string | undefined): string | undefined {
  const match = /^Bearer ([\x21-\x7e]{1,512})$/i.exec(header ?? '')
  return match?.[1]
}

/** Whether the SHA-256 digest of a token is one of the given hex digests. */
export function hasDigest (token: string, digests: readonly string[]): boolean {
  const actual = createHash('sha256').update(token).digest()
  let found = false
  // All digests are compared, so that the duration doesn't reveal which one matched.
  for (const digest of digests) {
    const expected = Buffer.from(digest, 'hex')
    if (expected.length === actual.length && timingSafeEqual(expected, actual)) found = true
  }
  return found
}
