/** Messages between nodes about moves: reports of attempt counts to the summing nodes, and brakes to all nodes. */
import { z } from 'zod'
import { toId } from '../ids/index.ts'
import { attemptCountsSchema, packedCountsSchema } from './attempt-counts.ts'
import type { MoveId, NodeId, TeamId } from '../ids/index.ts'
import type { AttemptCounts } from './attempt-counts.ts'
import type { ServiceMoveReport } from './service-move-types.ts'
import type { RegressionEvidence } from './types.ts'

/** Message kinds. */
export const reportKind = 'moves/report'
export const brakeKind = 'moves/brake'

/** Attempt counts of one node, and the brake if it knows one. */
export interface MoveReport {
  team: TeamId
  move: MoveId
  counts: AttemptCounts[]
  brake?: RegressionEvidence
}

/** A brake: all nodes stop the traffic to the new version. */
export interface MoveBrake {
  team: TeamId
  move: MoveId
  brake: RegressionEvidence
}

const regressionKind = z.enum(['failing', 'first-token-slow', 'between-tokens-slow'])
const versionCounts = { newBad: z.number(), oldBad: z.number(), newTotal: z.number(), oldTotal: z.number() }
const brake = z.object({
  route: z.string(),
  kind: regressionKind,
  node: z.string().transform(text => toId<NodeId>(text)),
  atMs: z.number(),
  ...versionCounts
})
const moveIdentity = {
  team: z.string().transform(text => toId<TeamId>(text)),
  move: z.string().transform(text => toId<MoveId>(text))
}
const reportSchema = z.object({
  ...moveIdentity,
  counts: z.array(attemptCountsSchema),
  brake: brake.optional()
})
const serviceReportsSchema = z.array(z.object({ service: z.string(), revision: z.number(), isBad: z.boolean(), counts: z.array(packedCountsSchema) }))
const brakeSchema = z.object({ ...moveIdentity, brake })

/** Parses a report; undefined when it is invalid. */
export function parseReport (body: unknown): MoveReport | undefined {
  return reportSchema.safeParse(body).data as MoveReport | undefined
}

/** Parses a brake; undefined when it is invalid. */
export function parseBrake (body: unknown): MoveBrake | undefined {
  return brakeSchema.safeParse(body).data
}

/** Parses a node's reports about the moves of services; none when they are invalid. */
export function parseServiceReports (reports: unknown): ServiceMoveReport[] {
  return serviceReportsSchema.safeParse(reports).data ?? []
}
