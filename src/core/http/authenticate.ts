/**
 * Tells callers and operators by their bearer tokens. Only digests of tokens
 * are known, compared in constant time; tokens are never logged.
 */
import { createHash, timingSafeEqual } from 'node:crypto'

/** The token of an Authorization header; undefined when there is none. */
export function bearerToken (header: string | undefined): string | undefined {
  const match = /^Bearer ([\x21-\x7e]{1,512})$/i.exec(header ?? '')
  return match?.[1]
}

/** Tells whether a token has one of the digests (SHA-256 in hex). */
export function hasDigest (token: string, digests: readonly string[]): boolean {
  const given = createHash('sha256').update(token).digest()
  let found = false
  // All digests are compared, so that the time taken doesn't tell which one matched.
  for (const digest of digests) {
    const known = Buffer.from(digest, 'hex')
    if (known.length === given.length && timingSafeEqual(known, given)) found = true
  }
  return found
}
