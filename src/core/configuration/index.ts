/**
 * The teams' declarations that are in effect on this node, read from the feed
 * of `config/`. When a declaration can't be parsed, the previous one stays in
 * effect.
 */
import { toId } from '../ids/index.ts'
import { configurationPrefix, parseTeamValue, teamsPrefix } from './declared-value.ts'
import { createFeed } from './feed/index.ts'
import type { TeamId } from '../ids/index.ts'
import type { TeamDeclaration } from '../teams/types.ts'
import type { FeedOptions } from './feed/index.ts'
import type { Configuration, EffectiveConfiguration } from './types.ts'

export type * from './types.ts'
export type * from './feed/index.ts'
export { createFeed } from './feed/index.ts'
export { configurationPrefix, parseDeclaredValue, parseTeamValue, teamsPrefix, templatesPrefix } from './declared-value.ts'

/** Options of a node's configuration. */
export type ConfigurationOptions = Omit<FeedOptions, 'prefix'>

/** Starts following the declarations. Stop it with `close`. */
export function createConfiguration (options: ConfigurationOptions): Configuration {
  const { log, metrics } = options
  const listeners = new Set<(teams: TeamId[]) => void>()
  let teams: ReadonlyMap<TeamId, TeamDeclaration> = new Map()

  const feed = createFeed({ ...options, prefix: configurationPrefix })

  function teamIdOf (key: string): TeamId {
    return toId<TeamId>(key.slice(teamsPrefix.length))
  }

  function readDeclaration (key: string): TeamDeclaration | undefined {
    const entry = feed.get(key)
    if (entry === undefined) return undefined
    const value = parseTeamValue(entry.value)
    if (value.isOk) return value.value.content.declaration
    metrics.count('declarations_unreadable_total')
    log('declarationUnreadable', { key, cause: value.error })
    return teams.get(teamIdOf(key))
  }

  function applyChanges (keys: string[]): void {
    const changed = keys.filter(key => key.startsWith(teamsPrefix))
    const next = new Map(teams)
    for (const key of changed) {
      const declaration = readDeclaration(key)
      if (declaration === undefined) next.delete(teamIdOf(key))
      else next.set(teamIdOf(key), declaration)
    }
    teams = next
    for (const listener of listeners) listener(changed.map(teamIdOf))
  }

  const stopListening = feed.onChange(applyChanges)

  return {
    current: (): EffectiveConfiguration => ({ revision: feed.revision(), teams }),
    onChange: listener => {
      listeners.add(listener)
      return () => listeners.delete(listener)
    },
    readiness: feed.readiness,
    status: feed.status,
    statusOfPeers: feed.statusOfPeers,
    entry: feed.get,
    close: async () => {
      stopListening()
      await feed.close()
    }
  }
}
