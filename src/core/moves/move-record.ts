/** Key and schema of the stored move records. */
import { z } from 'zod'
import { toId } from '../ids/index.ts'
import type { AnyId, TeamId } from '../ids/index.ts'
import type { MoveRecord } from './types.ts'

/** Prefix of the keys of the move records. */
export const moveKeyPrefix = 'moves/'

/** Key of a team's move record. */
export function moveKey (team: TeamId): string {
  return moveKeyPrefix + team
}

function id<Id extends AnyId> () {
  return z.string().min(1).transform(text => toId<Id>(text))
}

const evidenceSchema = z.object({
  route: z.string(),
  kind: z.enum(['failing', 'first-token-slow', 'between-tokens-slow']),
  node: id<MoveRecord['holder']>(),
  atMs: z.number(),
  newBad: z.number(),
  oldBad: z.number(),
  newTotal: z.number(),
  oldTotal: z.number()
})

const endSchema = z.object({
  word: z.enum(['done', 'taken-back']),
  reason: z.enum(['moved', 'bad-version', 'deadline-past', 'not-loaded', 'withdrawn', 'changed']),
  detail: z.string(),
  evidence: evidenceSchema.optional(),
  atMs: z.number()
})

const recordSchema = z.object({
  writeId: id<MoveRecord['writeId']>(),
  move: id<MoveRecord['move']>(),
  team: id<TeamId>(),
  fromVersion: id<MoveRecord['fromVersion']>(),
  toVersion: id<MoveRecord['toVersion']>(),
  startedAtMs: z.number(),
  deadlineAtMs: z.number(),
  holder: id<MoveRecord['holder']>(),
  fencingNumber: z.number(),
  servesFrom: z.array(id<MoveRecord['servesFrom'][number]>()),
  loadedOn: z.array(id<MoveRecord['loadedOn'][number]>()),
  trafficAtMs: z.number().optional(),
  step: z.number().int().nonnegative(),
  stepAtMs: z.number(),
  end: endSchema.optional(),
  unloadedAtMs: z.number().optional()
})

/** Parses a record; undefined when it is invalid, for instance written by a newer version of the software. */
export function parseMoveRecord (text: string): MoveRecord | undefined {
  try {
    const parsed = recordSchema.safeParse(JSON.parse(text))
    return parsed.success ? parsed.data as MoveRecord : undefined
  } catch {
    return undefined
  }
}
