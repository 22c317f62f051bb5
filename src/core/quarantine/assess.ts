/**
 * Decides which parts of prompts crash backend servers, from the attempts that had
 * no answer when their backend server crashed. Each part is assessed by the
 * likelihood of what was seen if the part crashes what begins to answer it, relative
 * to the likelihood at the present rate of crashes. The part that explains the crashes
 * best is taken first; crashes that it explains are no evidence against the others.
 */
import { crashKey } from './evidence.ts'
import type { BackendId, RequestFeature } from '../ids/index.ts'
import type { AnswerCounts, CrashedAttempt } from './types.ts'

/** A combination of parts that may crash backend servers. */
export interface Suspicion {
  service: string
  /** The parts that no evidence tells apart: all of them are in each crashed prompt, and none was answered. In ascending order. */
  features: RequestFeature[]
  /** Decimal logarithm of the likelihood ratio. */
  score: number
  /** Whether the evidence suffices to refuse prompts with the parts. */
  isCertain: boolean
  crashes: number
  backends: BackendId[]
  firstCrashAtMs: number
}

/** What is known about a service. */
export interface AssessmentContext {
  /** Attempts that were answered since a crash, and shortly before it, by part. */
  answered: (feature: RequestFeature) => AnswerCounts
  /** Attempts that are answered by a service in a second, over all nodes. */
  answersPerSecond: (service: string) => number
}

/** Probability that an attempt crashes its backend server, if it has a part that crashes servers and its answer has begun. */
const crashProbability = 0.8
/** The same for an attempt without a sign of an answer; most such attempts wait in a queue. */
const waitingCrashProbability = 0.16
/** Smallest probability that a sound attempt ends by a crash; covers what the rate of crashes doesn't show. */
const minBackgroundProbability = 0.02
/** Crashes within this time of each other may have one cause, such as the loss of a failure domain's power, and count once. */
const coincidenceMs = 10
/** Time before and after a crash over which the rate of other crashes is measured. */
const backgroundWindowMs = 1_000
/** From this score on, prompts with the parts are refused, unless another part explains the same crashes as well. */
export const quarantineScore = Math.log10(20_000)
/** From this score on, few requests with the parts are sent at a time. */
export const suspicionScore = Math.log10(20)

const answerScore = Math.log10(1 - crashProbability)
/** Difference of scores that tells two parts apart: a little less than one answer. */
const distinctionScore = 0.6
/** Answers before the first crash are weak evidence, since a part may crash backend servers from then on; they decide between parts that always occur together. */
const maxEarlierAnswers = 3

interface Crash {
  service: string
  backend: BackendId
  atMs: number
  attempts: CrashedAttempt[]
  /** The parts of all of them. */
  features: Set<RequestFeature>
}

function groupByCrash (attempts: readonly CrashedAttempt[]): Crash[] {
  const crashes = new Map<string, Crash>()
  for (const attempt of attempts) {
    const { service, backend, features, crashedAtMs } = attempt
    const key = crashKey(attempt)
    const crash = crashes.get(key) ?? { service, backend, atMs: crashedAtMs, attempts: [], features: new Set() }
    crash.atMs = Math.min(crash.atMs, crashedAtMs)
    crash.attempts.push(attempt)
    for (const feature of features) crash.features.add(feature)
    crashes.set(key, crash)
  }
  return [...crashes.values()].toSorted((a, b) => a.atMs - b.atMs)
}

/** Crashes with an attempt that has the part, in groups that may have one cause. */
function episodesOf (crashes: readonly Crash[]): Crash[][] {
  const episodes: Crash[][] = []
  for (const crash of crashes) {
    const last = episodes.at(-1)
    if (last !== undefined && crash.atMs - (last.at(-1)?.atMs ?? 0) <= coincidenceMs) last.push(crash)
    else episodes.push([crash])
  }
  return episodes
}

/** Probability that a sound attempt ends by a crash at that time: the crashes without the part, relative to all attempts. */
function backgroundProbability (atMs: number, others: readonly Crash[], answersPerSecond: number): number {
  const crashed = others.reduce((sum, crash) => sum + (Math.abs(crash.atMs - atMs) <= backgroundWindowMs ? crash.attempts.length : 0), 0)
  if (crashed === 0) return minBackgroundProbability
  const answered = answersPerSecond * 2 * backgroundWindowMs / 1_000
  return Math.max(minBackgroundProbability, crashed / (crashed + answered))
}

/** One part with the crashes and attempts that it may explain. */
interface AssessedFeature extends Suspicion {
  feature: RequestFeature
  own: readonly Crash[]
  attempts: number
}

/** Assesses one part against the crashes of its service that no other part explains. */
function assessFeature (feature: RequestFeature, crashes: readonly Crash[], context: AssessmentContext): AssessedFeature {
  const own = crashes.filter(crash => crash.features.has(feature))
  const others = crashes.filter(crash => !crash.features.has(feature))
  const service = own[0]?.service ?? ''
  const answered = context.answered(feature)
  const score = episodesOf(own).reduce((sum, episode) => {
    const hasStarted = episode.some(({ attempts }) => attempts.some(attempt => attempt.hasStarted && attempt.features.includes(feature)))
    const probability = hasStarted ? crashProbability : waitingCrashProbability
    const background = backgroundProbability(episode[0]?.atMs ?? 0, others, context.answersPerSecond(service))
    return sum + Math.max(0, Math.log10(probability / background))
  }, (answered.since + Math.min(maxEarlierAnswers, answered.before)) * answerScore)
  const attempts = own.flatMap(crash => crash.attempts.filter(({ features }) => features.includes(feature)))
  const features = (attempts[0]?.features ?? []).filter(other => {
    return other === feature || (context.answered(other).since === 0 && attempts.every(attempt => attempt.features.includes(other)))
  })
  return {
    feature, service, features: [...features].toSorted(), score, isCertain: false, own, attempts: attempts.length, crashes: own.length, backends: own.map(({ backend }) => backend), firstCrashAtMs: own[0]?.atMs ?? 0
  }
}

/** Whether another part, which prompts without this one also have, explains the same crashes about as well. */
function isAmbiguous (best: AssessedFeature, others: readonly AssessedFeature[]): boolean {
  return others.some(({ feature, score, own }) => !best.features.includes(feature) && score > best.score - distinctionScore && best.own.every(crash => own.includes(crash)))
}

function assessService (crashes: readonly Crash[], context: AssessmentContext): Suspicion[] {
  const suspicions: Suspicion[] = []
  let unexplained = crashes
  for (;;) {
    const features = new Set(unexplained.flatMap(crash => [...crash.features]))
    // Of parts with equal scores, the one in fewer prompts explains the same crashes without the others.
    const assessed = [...features].map(feature => assessFeature(feature, unexplained, context)).toSorted((a, b) => b.score - a.score || a.attempts - b.attempts)
    const [best] = assessed
    if (best === undefined || best.score < quarantineScore || isAmbiguous(best, assessed)) {
      const rest = new Map(assessed.filter(({ score }) => score >= suspicionScore).map(suspicion => [suspicion.features.join(), suspicion]))
      return [...suspicions, ...rest.values()]
    }
    suspicions.push({ ...best, isCertain: true })
    const explained = unexplained.filter(crash => crash.attempts.some(attempt => best.features.every(feature => attempt.features.includes(feature))))
    unexplained = unexplained.filter(crash => !explained.includes(crash))
  }
}

/** Finds the suspected combinations of parts, the most likely first for each service. */
export function assessFeatures (attempts: readonly CrashedAttempt[], context: AssessmentContext): Suspicion[] {
  const crashes = groupByCrash(attempts)
  const services = new Set(crashes.map(({ service }) => service))
  return [...services].flatMap(service => assessService(crashes.filter(crash => crash.service === service), context))
}

/** Whether a prompt has all of the parts. */
export function hasAllFeatures (promptParts: readonly RequestFeature[], features: readonly RequestFeature[]): boolean {
  return features.every(feature => promptParts.includes(feature))
}
