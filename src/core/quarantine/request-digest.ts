/** The identity of a request: two requests with the same digest ask for the same thing on behalf of the same team. */
import { createHash } from 'node:crypto'
import { toId } from '../ids/index.ts'
import type { RequestDigest, RequestFeature, TeamId } from '../ids/index.ts'

/** What makes two requests the same. Ids of attempts, deadlines and other headers differ between repeats. */
export interface RequestIdentity {
  method: string
  host: string
  /** With its query. */
  path: string
  /** Undefined for an anonymous caller. */
  team: TeamId | undefined
  body: Buffer | string | undefined
}

/** Characters of the digest that are kept: 128 bits, so that no caller can find a request that collides with another team's. */
const digestChars = 22
/** Maximum number of features of a request that are considered: the first and the last ones. */
const maxFeatures = 16
/** The port of the node that the caller reached, which differs between repeats through several nodes. */
const portPattern = /:\d+$/
/** No id of a prompt's part contains a colon. */
const digestPrefix = 'request:'

/** Digests a request. Takes about 1 ms for 1 MiB of body. */
export function digestRequest ({ method, host, path, team, body = '' }: RequestIdentity): RequestDigest {
  const head = JSON.stringify([method, host.toLowerCase().replace(portPattern, ''), path, team ?? null])
  const hash = createHash('sha256').update(`${head}\n`).update(body).digest('base64url')
  return toId<RequestDigest>(digestPrefix + hash.slice(0, digestChars))
}

/** Whether a feature of a request is the digest of a whole one. */
export function isRequestDigest (feature: RequestFeature): feature is RequestDigest {
  return feature.startsWith(digestPrefix)
}

/** The fields of log events for features, as in the gateway's lines on requests. */
export function featureLogFields (features: readonly RequestFeature[]): { parts: RequestFeature[], requestDigest: RequestDigest | undefined } {
  return { parts: features.filter(feature => !isRequestDigest(feature)), requestDigest: features.find(isRequestDigest) }
}

/** The features that are considered; the digest is the first one. */
export function boundFeatures (features: readonly RequestFeature[]): readonly RequestFeature[] {
  return features.length <= maxFeatures ? features : [...features.slice(0, maxFeatures / 2), ...features.slice(-maxFeatures / 2)]
}
