/** Validates the answers of other processes before anything in them is used. */
package io.bilberrygrade.serving.answer;
