/**
 * Builds oclif's configuration in memory, because the single executable has
 * no files from which oclif could load its commands.
 */
import { Config } from '@oclif/core'
import type { Command, Interfaces } from '@oclif/core'
import packageJson from '../../package.json' with { type: 'json' }
import { commands, topics } from './commands.ts'

const bin = 'cyclamenshunt'
const jsonFlag = { json: { type: 'boolean', name: 'json', description: 'Format output as JSON.', helpGroup: 'GLOBAL', allowNo: false } }

/** Converts a command class to the form of oclif's manifests, which its help reads. */
function toLoadable (id: string, command: Command.Class): Command.Loadable {
  const flags = {
    ...command.baseFlags,
    ...command.flags,
    ...(command.enableJsonFlag ? jsonFlag : {})
  } as Command.Loadable['flags']
  for (const [name, flag] of Object.entries(flags)) flag.name = name
  const args = command.args as Command.Loadable['args']
  for (const [name, arg] of Object.entries(args)) arg.name = name
  return {
    id,
    aliases: [],
    hiddenAliases: [],
    hidden: command.hidden,
    args,
    flags,
    summary: command.summary,
    description: command.description,
    examples: command.examples,
    strict: command.strict,
    pluginName: bin,
    load: async () => command
  }
}

function createPlugin (): Interfaces.Plugin {
  const loadables = Object.entries(commands).map(([id, command]) => toLoadable(id, command))
  const pjson = {
    name: packageJson.name,
    version: packageJson.version,
    description: packageJson.description,
    oclif: { bin, dirname: bin, topicSeparator: ' ', additionalHelpFlags: ['-h'], commands: undefined }
  } as unknown as Interfaces.Plugin['pjson']
  return {
    _base: bin,
    alias: bin,
    commandIDs: loadables.map(({ id }) => id),
    commands: loadables,
    commandsDir: undefined,
    findCommand: (async (id: string) => commands[id]) as Interfaces.Plugin['findCommand'],
    hasManifest: false,
    hooks: {},
    isRoot: true,
    load: async () => {},
    moduleType: 'module',
    name: bin,
    options: { root: '/' },
    pjson,
    root: '/',
    topics: Object.entries(topics).map(([name, description]) => ({ name, description })),
    type: 'core',
    valid: true,
    version: packageJson.version
  }
}

/** Creates and loads oclif's configuration of this program. */
export async function createProgram (): Promise<Config> {
  for (const [id, command] of Object.entries(commands)) command.id = id
  const config = new Config({ root: '/', plugins: new Map([[bin, createPlugin()]]) })
  await config.load()
  return config
}
