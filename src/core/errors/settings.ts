import { defineError } from './types.ts'

/** Errors of settings files, templates and parameters. */
export const settingsErrors = {
  SettingsInvalid: defineError<{ file: string, problems: string[] }>({
    title: 'Invalid settings',
    message: ({ file, problems }) => `${file} has ${problems.length} problem(s):\n${problems.join('\n')}\n`,
    hint: 'Correct the lines listed above and run "cyclamenshunt check" again.'
  })
}
