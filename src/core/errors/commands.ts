import { entry } from './types.ts'

/** Errors of the command line. */
export const commandErrors = {
  CommandUnknown: entry<{ given: string, nearest: string | undefined }>({
    title: 'Unknown command',
    message: ({ given, nearest }) => nearest === undefined
      ? `There is no command "${given}".`
      : `There is no command "${given}"; did you mean "${nearest}"?`,
    hint: 'Run "cyclamenshunt help" for the list.'
  })
}
