/** Computes which versions serve from a team's declaration and the record of its move. */
import type { Backend } from '../backends/types.ts'
import type { VersionId } from '../ids/index.ts'
import type { TeamDeclaration, VersionShares } from '../teams/types.ts'
import { newVersionShare } from './schedule.ts'
import type { MoveRecord } from './types.ts'

/** Time between the end of a move that is taken back and the unload of its new version, for the restart of its drafts. */
const unloadDelayMs = 10_000

/** The version that serves when no move is running: after a finished move its new version, until another one is declared. */
export function effectiveVersion (declaration: TeamDeclaration, record: MoveRecord | undefined): VersionId {
  const isMoved = record?.end?.word === 'done' && declaration.version === record.fromVersion
  return isMoved ? record.toVersion : declaration.version
}

/** Whether the move of the record is still the declared one. */
export function isStillDeclared ({ move }: TeamDeclaration, record: MoveRecord): boolean {
  return move?.toVersion === record.toVersion && move.deadlineAtMs === record.deadlineAtMs
}

/** Traffic shares of the versions at a wall time; with `isStopped`, the old version of a running move gets everything. */
export function sharesAt (declaration: TeamDeclaration, record: MoveRecord | undefined, isStopped: boolean, nowMs: number): VersionShares {
  if (record === undefined || record.end !== undefined) {
    return { shares: [{ version: effectiveVersion(declaration, record), share: 1 }] }
  }
  const isOff = isStopped || !isStillDeclared(declaration, record)
  const share = isOff ? 0 : newVersionShare(record, nowMs)
  return {
    shares: [
      { version: record.fromVersion, share: 1 - share },
      { version: record.toVersion, share }
    ].filter(part => part.share > 0)
  }
}

/** Wall time from which the version that no longer serves may be unloaded; Infinity before the end of the move. */
export function unloadAtMs (record: MoveRecord, maxRequestMs: number): number {
  if (record.end === undefined) return Infinity
  return record.end.atMs + (record.end.word === 'done' ? maxRequestMs : unloadDelayMs)
}

/** Versions that a backend server serves. */
function versionsOf (backend: Backend, record: MoveRecord): VersionId[] {
  const listed = record.servesFrom.includes(backend.id) ? record.fromVersion : backend.version
  if (!record.loadedOn.includes(backend.id) || record.end?.word === 'taken-back') return [listed]
  const isUnloaded = record.end !== undefined && record.unloadedAtMs !== undefined
  return isUnloaded ? [record.toVersion] : [...new Set([listed, record.toVersion])]
}

/** Returns one entry for each version that each backend server serves. */
export function expandVersions (backends: readonly Backend[], record: MoveRecord | undefined): Backend[] {
  if (record === undefined) return [...backends]
  return backends.flatMap(backend => versionsOf(backend, record).map(version => ({ ...backend, version })))
}
