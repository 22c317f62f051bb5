/** All commands by id. The words of an id are separated by colons. */
import type { Command } from '@oclif/core'
import Apply from './apply/index.ts'
import Call from './call/index.ts'
import Check from './check/index.ts'
import Completion from './completion/index.ts'
import Draft from './draft/index.ts'
import Explain from './explain/index.ts'
import Get from './get/index.ts'
import MovesList from './moves/list/index.ts'
import MovesWatch from './moves/watch/index.ts'
import QuarantineLift from './quarantine/lift/index.ts'
import QuarantineList from './quarantine/list/index.ts'
import Serve from './serve/index.ts'
import SetCommand from './set/index.ts'
import StandIn from './stand-in/index.ts'
import Status from './status/index.ts'

/** Statically imported, because the single executable has no command files that oclif could discover. */
export const commands: Record<string, Command.Class> = {
  apply: Apply,
  call: Call,
  check: Check,
  completion: Completion,
  draft: Draft,
  explain: Explain,
  get: Get,
  'moves:list': MovesList,
  'moves:watch': MovesWatch,
  'quarantine:lift': QuarantineLift,
  'quarantine:list': QuarantineList,
  serve: Serve,
  set: SetCommand,
  'stand-in': StandIn,
  status: Status
}

/** Help text of each topic, the first word that a group of commands shares. */
export const topics: Record<string, string> = {
  moves: [
    'List and follow version moves.',
    'For example:',
    '  $ cyclamenshunt moves list --json',
    '  $ cyclamenshunt moves watch attica-utilities'
  ].join('\n'),
  quarantine: [
    'List and lift the refusal of prompts that crashed backend servers.',
    'For example:',
    '  $ cyclamenshunt quarantine list',
    '  $ cyclamenshunt quarantine lift 91bd3f06c2a4e870'
  ].join('\n')
}
