//! Wire types of the chat completions and completions APIs.

use serde::{Deserialize, Serialize};
use verbenahead_core::{RequestId, units::Tokens};
use verbenahead_upstream::FinishReason;

/// Maximum length of an answer when the request sets none.
pub const DEFAULT_MAX_TOKENS: Tokens = Tokens(1024);

/// Bytes per token that the estimate of a prompt's length assumes.
const ESTIMATED_BYTES_PER_TOKEN: u64 = 4;

/// `CompletionBody` is the body of `POST /v1/chat/completions` and `POST /v1/completions`.
/// Other fields are ignored, because client libraries send many.
#[derive(Debug, Clone, Deserialize)]
pub struct CompletionBody {
    /// Name of the model.
    pub model: String,
    /// Messages of a chat.
    #[serde(default)]
    pub messages: Option<Vec<ChatMessage>>,
    /// Prompt of a completion.
    #[serde(default)]
    pub prompt: Option<String>,
    /// Maximum number of tokens of the answer.
    #[serde(default)]
    pub max_tokens: Option<u64>,
    /// Newer name of `max_tokens`, which takes precedence.
    #[serde(default)]
    pub max_completion_tokens: Option<u64>,
    /// Seed of the sampling.
    #[serde(default)]
    pub seed: Option<u64>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
}

/// `ChatMessage` is one message of a chat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Role of the author.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

impl CompletionBody {
    /// Returns the prompt as one text: the prompt of a completion, or the messages of a chat joined by
    /// line breaks. Returns `None` when the body has neither.
    pub fn prompt_text(&self) -> Option<String> {
        if let Some(prompt) = &self.prompt {
            return Some(prompt.clone());
        }
        let messages = self.messages.as_ref().filter(|m| !m.is_empty())?;
        let lines: Vec<_> = messages
            .iter()
            .map(|message| format!("{}: {}", message.role, message.content))
            .collect();
        Some(lines.join("\n"))
    }

    /// Returns the maximum number of tokens of the answer, capped at `limit`.
    pub fn max_answer(&self, limit: Tokens) -> Tokens {
        let requested = self.max_completion_tokens.or(self.max_tokens);
        requested.map_or(DEFAULT_MAX_TOKENS, Tokens).min(limit)
    }
}

/// Estimates the number of tokens of a prompt from its length in bytes.
pub fn estimate_tokens(prompt: &str) -> Tokens {
    Tokens((prompt.len() as u64).div_ceil(ESTIMATED_BYTES_PER_TOKEN))
}

/// `CompletionApi` is the API that a request came through.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CompletionApi {
    /// Chat completions.
    Chat,
    /// Text completions.
    Text,
}

impl CompletionApi {
    /// Returns the API that a body belongs to: text completions if it has a prompt.
    pub fn from_body(body: &CompletionBody) -> Self {
        if body.prompt.is_some() {
            Self::Text
        } else {
            Self::Chat
        }
    }

    fn object_type(self, is_chunk: bool) -> &'static str {
        match (self, is_chunk) {
            (Self::Chat, true) => "chat.completion.chunk",
            (Self::Chat, false) => "chat.completion",
            (Self::Text, _) => "text_completion",
        }
    }
}

/// `AnswerMetadata` holds the fields that all documents of one answer share.
#[derive(Debug, Clone)]
pub struct AnswerMetadata {
    /// Id of the request.
    pub request: RequestId,
    /// Name of the model.
    pub model: String,
    /// API that was called.
    pub api: CompletionApi,
    /// Time of acceptance in seconds since the Unix epoch.
    pub created: u64,
}

#[derive(Debug, Serialize)]
struct Document<'a> {
    id: String,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Debug, Default, Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Delta<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Delta<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    finish_reason: Option<FinishReason>,
}

#[derive(Debug, Default, Serialize)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

#[derive(Debug, Serialize)]
struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
}

impl AnswerMetadata {
    fn document<'a>(&'a self, is_chunk: bool, choice: Choice<'a>) -> Document<'a> {
        Document {
            id: format!("chatcmpl-{}", self.request),
            object: self.api.object_type(is_chunk),
            created: self.created,
            model: &self.model,
            choices: [choice],
            usage: None,
        }
    }

    /// Returns the JSON of a chunk with one token. The first chunk of a chat includes the role.
    pub fn token_chunk(&self, text: &str, is_first: bool) -> String {
        let choice = match self.api {
            CompletionApi::Chat => Choice {
                delta: Some(Delta {
                    role: is_first.then_some("assistant"),
                    content: Some(text),
                }),
                ..Choice::default()
            },
            CompletionApi::Text => Choice {
                text: Some(text),
                ..Choice::default()
            },
        };
        to_json(&self.document(true, choice))
    }

    /// Returns the JSON of the final chunk, which has the finish reason.
    pub fn end_chunk(&self, reason: FinishReason) -> String {
        let mut choice = Choice {
            finish_reason: Some(reason),
            ..Choice::default()
        };
        match self.api {
            CompletionApi::Chat => choice.delta = Some(Delta::default()),
            CompletionApi::Text => choice.text = Some(""),
        }
        to_json(&self.document(true, choice))
    }

    /// Returns the JSON of a complete, unstreamed answer.
    pub fn complete_answer(
        &self,
        text: &str,
        reason: FinishReason,
        prompt_tokens: Tokens,
        answer_tokens: Tokens,
    ) -> String {
        let mut choice = Choice {
            finish_reason: Some(reason),
            ..Choice::default()
        };
        match self.api {
            CompletionApi::Chat => {
                choice.message = Some(Delta {
                    role: Some("assistant"),
                    content: Some(text),
                });
            }
            CompletionApi::Text => choice.text = Some(text),
        }
        let mut document = self.document(false, choice);
        document.usage = Some(Usage {
            prompt_tokens: prompt_tokens.0,
            completion_tokens: answer_tokens.0,
            total_tokens: (prompt_tokens + answer_tokens).0,
        });
        to_json(&document)
    }
}

fn to_json(document: &Document<'_>) -> String {
    serde_json::to_string(document).unwrap_or_default()
}

/// `ModelList` is the answer to `GET /v1/models`.
#[derive(Debug, Serialize)]
pub struct ModelList {
    object: &'static str,
    data: Vec<ModelEntry>,
}

#[derive(Debug, Serialize)]
struct ModelEntry {
    id: String,
    object: &'static str,
    owned_by: String,
}

impl ModelList {
    /// Builds the list from pairs of model name and service id.
    pub fn new(models: impl IntoIterator<Item = (String, String)>) -> Self {
        let data = models
            .into_iter()
            .map(|(id, owned_by)| ModelEntry {
                id,
                object: "model",
                owned_by,
            })
            .collect();
        Self {
            object: "list",
            data,
        }
    }
}
