/**
 * Decides which features of requests crash backend servers, from the attempts that
 * had no complete answer when their backend server crashed. Each feature is assessed
 * by the likelihood of what was seen if it crashes what begins to answer it, relative
 * to the likelihood at the present rate of crashes. The feature that explains the
 * crashes best is taken first; crashes that it explains are no evidence against others.
 * Of features that explain the same crashes, a whole request goes before the parts
 * of its prompt, since fewer requests are refused for it.
 */
import { crashKey } from './evidence.ts'
import { isRequestDigest } from './request-digest.ts'
import type { BackendId, RequestFeature } from '../ids/index.ts'
import type { AnswerCounts, CrashedAttempt, RequestOrigin } from './types.ts'

/** A whole request, or a combination of parts, that may crash backend servers. */
export interface Suspicion {
  service: string
  /** A whole request, or the parts that no evidence tells apart: all of them are in each crashed prompt, and none was answered. In ascending order. */
  features: RequestFeature[]
  /** Decimal logarithm of the likelihood ratio. */
  score: number
  /** Whether the evidence suffices to refuse requests with the features. */
  isCertain: boolean
  crashes: number
  backends: BackendId[]
  firstCrashAtMs: number
  /** Set for a whole request. */
  origin?: RequestOrigin
}

/** What is known about a service. */
export interface AssessmentContext {
  /** Attempts that were answered since a crash, and shortly before it, by feature. */
  answered: (feature: RequestFeature) => AnswerCounts
  /** Attempts that are answered by a service in a second, over all nodes. */
  answersPerSecond: (service: string) => number
  /** Whether a quarantined request is the cause of a crash; its other features may still be the cause of that request's crashes. */
  isExplainedByRequest?: (crashed: CrashedAttempt) => boolean
}

/** Probabilities under which a feature is assessed. */
interface Likelihood {
  /** That an attempt ends by a crash if it has the feature, the feature crashes servers and the answer has begun. */
  crash: number
  /** The same for an attempt without a sign of an answer. */
  waitingCrash: number
  /** Smallest probability that a sound attempt ends by a crash; covers what the rate of crashes doesn't show. */
  minBackground: number
}

/** Most attempts without a sign of an answer wait in a queue. */
const partLikelihood: Likelihood = { crash: 0.8, waitingCrash: 0.16, minBackground: 0.02 }
/** An attempt with the same request ends by its own crash or by that of another one. */
const requestLikelihood: Likelihood = { crash: 0.95, waitingCrash: 0.16, minBackground: 0.01 }
/** Crashes within this time of each other may have one cause, such as the loss of a failure domain's power. */
const coincidenceMs = 10
/** Time before and after a crash over which the rate of other crashes is measured. */
const backgroundWindowMs = 1_000
/** From this score on, requests with the features are refused, unless another feature explains the same crashes as well. */
export const quarantineScore = Math.log10(20_000)
/** From this score on, few requests with the parts are sent at a time, and no request to the last backend server of its service. */
export const suspicionScore = Math.log10(20)
/** From this score on, one copy of a request is sent at a time, which concerns no other request. */
const requestSuspicionScore = Math.log10(2)

/** Difference of scores that tells two features apart: a little less than one answer to a prompt with a part. */
const distinctionScore = 0.6
/** Answers before the first crash are weak evidence, since a feature may crash backend servers from then on. */
const maxEarlierAnswers = 3
const earlierAnswerScore = Math.log10(1 - partLikelihood.crash)
/** Crashes that no quarantined request explains, from which on those that one does count for a part, too. */
const minUnexplainedCrashes = 2

interface Crash {
  service: string
  backend: BackendId
  atMs: number
  attempts: CrashedAttempt[]
  /** The features of all of them. */
  features: Set<RequestFeature>
  /** Requests in progress at the backend server, as far as nodes knew. */
  inProgress: number
  /** Whether a whole request is its cause. */
  isExplained: boolean
}

function groupByCrash (attempts: readonly CrashedAttempt[], { isExplainedByRequest = () => false }: AssessmentContext): Crash[] {
  const crashes = new Map<string, Crash>()
  for (const attempt of attempts) {
    const { service, backend, features, crashedAtMs, inProgress } = attempt
    const key = crashKey(attempt)
    const crash = crashes.get(key) ?? { service, backend, atMs: crashedAtMs, attempts: [], features: new Set(), inProgress: 1, isExplained: false }
    crash.atMs = Math.min(crash.atMs, crashedAtMs)
    crash.attempts.push(attempt)
    crash.inProgress = Math.max(crash.inProgress, inProgress, crash.attempts.length)
    crash.isExplained ||= isExplainedByRequest(attempt)
    for (const feature of features) crash.features.add(feature)
    crashes.set(key, crash)
  }
  return [...crashes.values()].toSorted((a, b) => a.atMs - b.atMs)
}

/** Crashes in groups that may have one cause. A request that was on all backend servers that crashed together was hardly there by chance. */
function episodesOf (feature: RequestFeature, crashes: readonly Crash[]): Crash[][] {
  if (isRequestDigest(feature)) return crashes.map(crash => [crash])
  const episodes: Crash[][] = []
  for (const crash of crashes) {
    const last = episodes.at(-1)
    if (last !== undefined && crash.atMs - (last.at(-1)?.atMs ?? 0) <= coincidenceMs) last.push(crash)
    else episodes.push([crash])
  }
  return episodes
}

/** Probability that a sound attempt ends by a crash at that time: the crashes without the feature, relative to all attempts. */
function backgroundProbability (atMs: number, others: readonly Crash[], answersPerSecond: number, minBackground: number): number {
  const crashed = others.reduce((sum, crash) => sum + (Math.abs(crash.atMs - atMs) <= backgroundWindowMs ? crash.attempts.length : 0), 0)
  if (crashed === 0) return minBackground
  const answered = answersPerSecond * 2 * backgroundWindowMs / 1_000
  return Math.max(minBackground, crashed / (crashed + answered))
}

/** One feature with the crashes and attempts that it may explain. */
interface AssessedFeature extends Suspicion {
  feature: RequestFeature
  isRequest: boolean
  own: readonly Crash[]
  attempts: number
}

/** The crashes of attempts with each feature. */
function indexByFeature (crashes: readonly Crash[]): Map<RequestFeature, Crash[]> {
  const index = new Map<RequestFeature, Crash[]>()
  for (const crash of crashes) {
    for (const feature of crash.features) {
      const own = index.get(feature)
      if (own === undefined) index.set(feature, [crash])
      else own.push(crash)
    }
  }
  return index
}

/** The crashes that count for a feature. */
function crashesOf (feature: RequestFeature, withFeature: readonly Crash[]): readonly Crash[] {
  const unexplained = withFeature.filter(({ isExplained }) => !isExplained)
  return !isRequestDigest(feature) && unexplained.length >= minUnexplainedCrashes ? withFeature : unexplained
}

/** Logarithm of the likelihood ratio of one group of crashes that may have one cause. */
function scoreOfEpisode (feature: RequestFeature, episode: readonly Crash[], others: readonly Crash[], likelihood: Likelihood, answersPerSecond: number): number {
  const [{ atMs }] = episode as [Crash]
  const hasCommonCause = isRequestDigest(feature) && others.some(other => Math.abs(other.atMs - atMs) <= coincidenceMs)
  if (hasCommonCause) return 0
  const hasStarted = episode.some(({ attempts }) => attempts.some(attempt => attempt.hasStarted && attempt.features.includes(feature)))
  const probability = hasStarted ? likelihood.crash : likelihood.waitingCrash
  return Math.max(0, Math.log10(probability / backgroundProbability(atMs, others, answersPerSecond, likelihood.minBackground)))
}

/** Assesses one feature against the crashes of its service that no other feature explains. */
function assessFeature (feature: RequestFeature, withFeature: readonly Crash[], crashes: readonly Crash[], context: AssessmentContext): AssessedFeature {
  const isRequest = isRequestDigest(feature)
  const own = crashesOf(feature, withFeature)
  const others = crashes.filter(crash => !crash.features.has(feature))
  const service = own[0]?.service ?? ''
  const likelihood = isRequest ? requestLikelihood : partLikelihood
  const { since, before } = context.answered(feature)
  const answersScore = since * Math.log10(1 - likelihood.crash) + Math.min(maxEarlierAnswers, before) * earlierAnswerScore
  const crashesScore = episodesOf(feature, own).reduce((sum, episode) => sum + scoreOfEpisode(feature, episode, others, likelihood, context.answersPerSecond(service)), 0)
  // One of the requests in progress may be the cause; of a part, only that it comes again tells anything.
  const choiceScore = isRequest ? Math.log10(Math.min(...own.map(({ inProgress }) => inProgress))) : 0
  const attempts = own.flatMap(crash => crash.attempts.filter(({ features }) => features.includes(feature)))
  const features = isRequest
    ? [feature]
    : (attempts[0]?.features ?? []).filter(other => {
        return other === feature || (!isRequestDigest(other) && context.answered(other).since === 0 && attempts.every(attempt => attempt.features.includes(other)))
      })
  const origin = isRequest ? attempts[0]?.origin : undefined
  return {
    feature,
    isRequest,
    service,
    features: [...features].toSorted(),
    score: own.length === 0 ? -Infinity : crashesScore + answersScore - choiceScore,
    isCertain: false,
    own,
    attempts: attempts.length,
    crashes: own.length,
    backends: own.map(({ backend }) => backend),
    firstCrashAtMs: own[0]?.atMs ?? 0,
    ...(origin === undefined ? {} : { origin })
  }
}

/** Whether another feature of the same kind, which requests without this one also have, explains the same crashes about as well. */
function isAmbiguous (best: AssessedFeature, others: readonly AssessedFeature[]): boolean {
  return others.some(({ feature, isRequest, score, own }) => {
    return isRequest === best.isRequest && !best.features.includes(feature) && score > best.score - distinctionScore && best.own.every(crash => own.includes(crash))
  })
}

/** The feature that explains the crashes best, if it does so beyond doubt. `assessed` is in the order of scores. */
function findCause (assessed: readonly AssessedFeature[]): AssessedFeature | undefined {
  const [bestPart] = assessed.filter(({ isRequest }) => !isRequest)
  const [bestRequest] = assessed.filter(({ isRequest }) => isRequest)
  const isSure = (candidate: AssessedFeature | undefined): candidate is AssessedFeature => {
    return candidate !== undefined && candidate.score >= quarantineScore && !isAmbiguous(candidate, assessed)
  }
  const hasMore = bestRequest !== undefined && bestPart !== undefined && bestPart.score > bestRequest.score && bestPart.own.some(crash => !bestRequest.own.includes(crash))
  if (isSure(bestRequest) && !hasMore) return bestRequest
  return isSure(bestPart) ? bestPart : undefined
}

function assessService (crashes: readonly Crash[], context: AssessmentContext): Suspicion[] {
  const suspicions: Suspicion[] = []
  let unexplained = crashes
  for (;;) {
    // Of parts with equal scores, the one in fewer prompts explains the same crashes without the others.
    const assessed = [...indexByFeature(unexplained)].map(([feature, withFeature]) => assessFeature(feature, withFeature, unexplained, context)).toSorted((a, b) => b.score - a.score || a.attempts - b.attempts)
    const cause = findCause(assessed)
    if (cause === undefined) {
      const rest = new Map(assessed.filter(({ score, isRequest }) => score >= (isRequest ? requestSuspicionScore : suspicionScore)).map(suspicion => [suspicion.features.join(), suspicion]))
      return [...suspicions, ...rest.values()]
    }
    suspicions.push({ ...cause, isCertain: true })
    unexplained = unexplained.flatMap(crash => {
      const isExplained = crash.attempts.some(attempt => hasAllFeatures(attempt.features, cause.features))
      if (!isExplained) return [crash]
      return cause.isRequest ? [{ ...crash, isExplained: true }] : []
    })
  }
}

/** Finds the suspected requests and combinations of parts, the most likely first for each service. */
export function assessFeatures (attempts: readonly CrashedAttempt[], context: AssessmentContext): Suspicion[] {
  const crashes = groupByCrash(attempts, context)
  const services = new Set(crashes.map(({ service }) => service))
  return [...services].flatMap(service => assessService(crashes.filter(crash => crash.service === service), context))
}

/** Whether a request has all of the features. */
export function hasAllFeatures (requestFeatures: readonly RequestFeature[], features: readonly RequestFeature[]): boolean {
  return features.every(feature => requestFeatures.includes(feature))
}
